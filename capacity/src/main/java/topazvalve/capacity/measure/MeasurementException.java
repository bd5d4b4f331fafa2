package topazvalve.capacity.measure;

import java.io.IOException;

/** Thrown where a measured process does not do in time what the measurement needs. */
final class MeasurementException extends IOException {
    private static final long serialVersionUID = 1;

    MeasurementException(String message) {
        super(message);
    }
}
