package topazvalve.toml;

/** Between two numbers, both included; each thing that has one draws its own value. */
public record Range(double low, double high) {
    /** The value that lies this part of the way up; {@code part} from 0 to 1. */
    public double at(double part) {
        return low + (high - low) * part;
    }
}
