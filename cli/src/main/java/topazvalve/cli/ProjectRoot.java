package topazvalve.cli;

import java.nio.file.Path;

/** The directory in which the project was built; contains the packaged programs and the scenarios. */
final class ProjectRoot {
    private ProjectRoot() {}

    /** Returns the directory that the {@code topazvalve} script sets, or the working directory if none is set. */
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
