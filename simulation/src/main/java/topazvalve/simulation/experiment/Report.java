package topazvalve.simulation.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import topazvalve.simulation.statistics.RunStatistics;

/**
 * The report of an experiment, a self-contained HTML file: for each scenario a table of the arms and plots over time
 * with the faults shaded. The plotting library (uPlot) is embedded in the file.
 */
public final class Report {
    private static final String UPLOT = "/META-INF/resources/webjars/uplot/1.6.30/dist/";
    private static final int MAX_RUNS_WITH_VIOLATIONS = 10;
    private static final ObjectMapper JSON = new ObjectMapper();

    private Report() {}

    /** Writes the report of these results, replacing an existing file. */
    public static void write(Path file, String title, List<Result> results) throws IOException {
        StringBuilder html = new StringBuilder(1 << 18);
        html.append("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escape(title))
                .append("</title><style>")
                .append(resource(UPLOT + "uPlot.min.css"))
                .append(resource("report.css"))
                .append("</style><script>")
                .append(resource(UPLOT + "uPlot.iife.min.js"))
                .append("</script></head><body><h1>")
                .append(escape(title))
                .append("</h1>");
        Set<String> scenarios =
                new LinkedHashSet<>(results.stream().map(Result::scenario).toList());
        for (String scenario : scenarios) {
            appendScenario(
                    html,
                    scenario,
                    results.stream()
                            .filter(each -> each.scenario().equals(scenario))
                            .toList());
        }
        html.append("<script>").append(resource("report.js")).append("</script></body></html>\n");
        Path temporary = file.resolveSibling(file.getFileName() + ".next");
        Files.writeString(temporary, html);
        Files.move(temporary, file, StandardCopyOption.REPLACE_EXISTING);
    }

    private static String resource(String name) {
        try (InputStream in = Report.class.getResourceAsStream(name)) {
            if (in == null) {
                throw new IllegalStateException("resource not packaged: " + name);
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).replace("</script", "<\\/script");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String escape(String raw) {
        return raw.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    private static Map<String, List<Result>> byArm(List<Result> results) {
        Map<String, List<Result>> arms = new LinkedHashMap<>();
        results.forEach(each ->
                arms.computeIfAbsent(each.arm(), arm -> new ArrayList<>()).add(each));
        return arms;
    }

    private static void appendScenario(StringBuilder html, String name, List<Result> results) {
        Map<String, List<Result>> arms = byArm(results);
        html.append("<h2>")
                .append(escape(name))
                .append("</h2><table><tr><th>arm<th>runs<th>goal<th>service"
                        + "<th>worst 10 s<th>worst class<th>p50 ms<th>p99 ms<th>attempts per request<th>rejected"
                        + "<th>failed<th>violated rules</tr>");
        arms.forEach((arm, runs) -> appendRow(html, arm, runs));
        html.append("</table>");
        appendViolations(html, results);
        appendPlot(
                html,
                "Fraction of requests served within the latency objective",
                results,
                (second, sums) -> second.sent() == 0 ? 1 : (double) second.inTime() / second.sent());
        appendPlot(html, "p99 of the requests sent in each second, ms", results, (second, sums) -> second.p99Ms());
        appendPlot(html, "p50 of the requests sent in each second, ms", results, (second, sums) -> second.p50Ms());
        appendPlot(html, "Attempts at servers, per second", results, (second, sums) -> second.attempts());
        appendAttemptsByServer(html, arms);
    }

    private static void appendRow(StringBuilder html, String arm, List<Result> runs) {
        html.append("<tr><td>").append(escape(arm)).append("<td>").append(runs.size());
        appendCell(html, mean(runs, Result::goal), "%.4f");
        appendCell(html, mean(runs, Result::service), "%.4f");
        appendCell(html, mean(runs, Result::worstWindow), "%.4f");
        appendCell(html, mean(runs, Result::worstClass), "%.4f");
        appendCell(html, mean(runs, each -> maxOverClasses(each, Result.ClassResult::p50)), "%.0f");
        appendCell(html, mean(runs, each -> maxOverClasses(each, Result.ClassResult::p99)), "%.0f");
        appendCell(html, mean(runs, each -> perRequest(each, each.sums().attempts())), "%.2f");
        appendCell(html, mean(runs, each -> perRequest(each, each.sums().rejected())), "%.3f");
        appendCell(html, mean(runs, each -> perRequest(each, each.sums().failed())), "%.3f");
        long runsWithViolations =
                runs.stream().filter(each -> !each.violationCounts().isEmpty()).count();
        html.append("<td class=\"")
                .append(runsWithViolations > 0 ? "bad" : "good")
                .append("\">")
                .append(runsWithViolations == 0 ? "none" : "in " + runsWithViolations + " runs")
                .append("</tr>");
    }

    private static double maxOverClasses(Result result, ToDoubleFunction<Result.ClassResult> metric) {
        return result.classes().stream().mapToDouble(metric).max().orElse(0);
    }

    private static double perRequest(Result result, long count) {
        return (double) count / Math.max(1, result.sums().sent());
    }

    private static void appendCell(StringBuilder html, double value, String format) {
        html.append("<td>").append(String.format(Locale.ROOT, format, value));
    }

    private static double mean(List<Result> runs, ToDoubleFunction<Result> metric) {
        SummaryStatistics values = new SummaryStatistics();
        runs.forEach(each -> values.addValue(metric.applyAsDouble(each)));
        return values.getMean();
    }

    private static void appendViolations(StringBuilder html, List<Result> results) {
        List<Result> runsWithViolations = results.stream()
                .filter(each -> !each.violationCounts().isEmpty())
                .limit(MAX_RUNS_WITH_VIOLATIONS)
                .toList();
        if (!runsWithViolations.isEmpty()) {
            html.append("<details><summary>Rule violations</summary><ul>");
            runsWithViolations.forEach(run -> run.violations()
                    .forEach(each -> html.append("<li>")
                            .append(escape(run.key()))
                            .append(": ")
                            .append(escape(each))));
            html.append("</ul></details>");
        }
    }

    /** A value that a plot shows for each second. */
    private interface Metric {
        double of(RunStatistics.Second second, RunStatistics.Sums sums);
    }

    private static void appendPlot(StringBuilder html, String title, List<Result> results, Metric metric) {
        Map<String, List<Result>> arms = byArm(results);
        int seconds =
                results.stream().mapToInt(each -> each.seconds().size()).max().orElse(0);
        List<List<Double>> series = new ArrayList<>();
        List<Double> time = new ArrayList<>();
        for (int i = 0; i < seconds; i++) {
            time.add((double) i);
        }
        series.add(time);
        arms.values().forEach(runs -> {
            List<Double> values = new ArrayList<>();
            for (int i = 0; i < seconds; i++) {
                int second = i;
                values.add(mean(
                        runs.stream()
                                .filter(each -> each.seconds().size() > second)
                                .toList(),
                        each -> metric.of(each.seconds().get(second), each.sums())));
            }
            series.add(values);
        });
        appendPlotData(
                html, title, List.copyOf(arms.keySet()), series, results.get(0).faults(), false);
    }

    private static void appendAttemptsByServer(StringBuilder html, Map<String, List<Result>> arms) {
        List<List<Double>> series = new ArrayList<>();
        int idBound = arms.values().stream()
                .flatMap(List::stream)
                .mapToInt(each -> each.attemptsByServer().length)
                .max()
                .orElse(1);
        List<Double> ids = new ArrayList<>();
        for (int i = 1; i < idBound; i++) {
            ids.add((double) i);
        }
        series.add(ids);
        arms.values().forEach(runs -> {
            List<Double> values = new ArrayList<>();
            for (int i = 1; i < idBound; i++) {
                int id = i;
                values.add(mean(runs, each -> id < each.attemptsByServer().length ? each.attemptsByServer()[id] : 0));
            }
            series.add(values);
        });
        appendPlotData(html, "Attempts by server", List.copyOf(arms.keySet()), series, List.of(), true);
    }

    private static void appendPlotData(
            StringBuilder html,
            String title,
            List<String> names,
            List<List<Double>> series,
            List<Result.FaultInterval> faults,
            boolean points) {
        try {
            String json = JSON.writeValueAsString(
                    Map.of("title", title, "names", names, "series", series, "faults", faults, "points", points));
            html.append("<script type=\"application/json\" class=\"plot\">")
                    .append(json.replace("</", "<\\/"))
                    .append("</script>");
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("plot data cannot be written as JSON", e);
        }
    }
}
