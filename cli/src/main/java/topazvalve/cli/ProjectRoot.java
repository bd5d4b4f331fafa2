package topazvalve.cli;

import java.nio.file.Path;

/** The directory in which the program was built, with its packaged programs and its scenarios. */
final class ProjectRoot {
    private ProjectRoot() {}

    /** Returns the directory that the {@code topazvalve} script gives, or else the working directory. */
    static Path path() {
        return Path.of(System.getProperty("topazvalve.home", "."))
                .toAbsolutePath()
                .normalize();
    }

    /** Returns a file below the directory. */
    static Path resolve(String file) {
        return path().resolve(file);
    }
}
