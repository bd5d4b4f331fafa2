package topazvalve.capacity.measure;

import java.io.IOException;

/** Thrown if a measured process fails or does not reach the required state in time. */
final class MeasurementException extends IOException {
    private static final long serialVersionUID = 1;

    MeasurementException(String message) {
        super(message);
    }
}
