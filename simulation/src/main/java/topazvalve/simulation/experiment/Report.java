package topazvalve.simulation.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import topazvalve.simulation.tally.RunStatistics;

/**
 * One self-contained HTML file: a table of the arms, and for each scenario plots over time (uPlot, which is
 * put into the file), with the faults drawn beneath.
 */
public final class Report {
    private static final String UPLOT = "/META-INF/resources/webjars/uplot/1.6.30/dist/";
    private static final ObjectMapper JSON = new ObjectMapper();

    private Report() {}

    /** Writes the report of these results. */
    public static void write(Path file, String title, List<Result> results) throws IOException {
        StringBuilder html = new StringBuilder(1 << 18);
        html.append("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(text(title))
                .append("</title><style>")
                .append(resource(UPLOT + "uPlot.min.css"))
                .append(resource("report.css"))
                .append("</style><script>")
                .append(resource(UPLOT + "uPlot.iife.min.js"))
                .append("</script></head><body><h1>")
                .append(text(title))
                .append("</h1>");
        Set<String> scenarios =
                new LinkedHashSet<>(results.stream().map(Result::scenario).toList());
        for (String scenario : scenarios) {
            scenario(
                    html,
                    scenario,
                    results.stream()
                            .filter(each -> each.scenario().equals(scenario))
                            .toList());
        }
        html.append("<script>").append(resource("report.js")).append("</script></body></html>\n");
        Path next = file.resolveSibling(file.getFileName() + ".next");
        Files.writeString(next, html);
        Files.move(next, file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    private static String resource(String name) {
        try (InputStream in = Report.class.getResourceAsStream(name)) {
            if (in == null) {
                throw new IllegalStateException("not packaged: " + name);
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).replace("</script", "<\\/script");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String text(String raw) {
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

    private static void scenario(StringBuilder html, String name, List<Result> results) {
        Map<String, List<Result>> arms = byArm(results);
        html.append("<h2>")
                .append(text(name))
                .append("</h2><table><tr><th>arm<th>runs<th>goal<th>service"
                        + "<th>worst 10 s<th>worst class<th>p50 ms<th>p99 ms<th>attempts per request<th>refused"
                        + "<th>failed<th>rules broken</tr>");
        arms.forEach((arm, runs) -> row(html, arm, runs));
        html.append("</table>");
        runsWithBreaches(html, results);
        plot(
                html,
                "Served within the aim, part of what was asked",
                results,
                (second, sums) -> second.asked() == 0 ? 1 : (double) second.good() / second.asked());
        plot(html, "p99 of the requests sent in each second, ms", results, (second, sums) -> second.p99Ms());
        plot(html, "p50 of the requests sent in each second, ms", results, (second, sums) -> second.p50Ms());
        plot(html, "Attempts at servers, per second", results, (second, sums) -> second.attempts());
        servers(html, arms);
    }

    private static void row(StringBuilder html, String arm, List<Result> runs) {
        html.append("<tr><td>").append(text(arm)).append("<td>").append(runs.size());
        cell(html, mean(runs, Result::goal), "%.4f");
        cell(html, mean(runs, Result::service), "%.4f");
        cell(html, mean(runs, Result::worstWindow), "%.4f");
        cell(html, mean(runs, Result::worstClass), "%.4f");
        cell(
                html,
                mean(
                        runs,
                        each -> each.classes().stream()
                                .mapToDouble(Result.OfClass::p50)
                                .max()
                                .orElse(0)),
                "%.0f");
        cell(
                html,
                mean(
                        runs,
                        each -> each.classes().stream()
                                .mapToDouble(Result.OfClass::p99)
                                .max()
                                .orElse(0)),
                "%.0f");
        cell(
                html,
                mean(
                        runs,
                        each -> (double) each.sums().attempts()
                                / Math.max(1, each.sums().asked())),
                "%.2f");
        cell(
                html,
                mean(
                        runs,
                        each -> (double) each.sums().refused()
                                / Math.max(1, each.sums().asked())),
                "%.3f");
        cell(
                html,
                mean(
                        runs,
                        each -> (double) each.sums().failed()
                                / Math.max(1, each.sums().asked())),
                "%.3f");
        long broken = runs.stream().filter(each -> !each.broken().isEmpty()).count();
        html.append("<td class=\"")
                .append(broken > 0 ? "bad" : "good")
                .append("\">")
                .append(broken == 0 ? "none" : "in " + broken + " runs")
                .append("</tr>");
    }

    private static void cell(StringBuilder html, double value, String form) {
        html.append("<td>").append(String.format(Locale.ROOT, form, value));
    }

    private static double mean(List<Result> runs, java.util.function.ToDoubleFunction<Result> figure) {
        SummaryStatistics values = new SummaryStatistics();
        runs.forEach(each -> values.addValue(figure.applyAsDouble(each)));
        return values.getMean();
    }

    private static void runsWithBreaches(StringBuilder html, List<Result> results) {
        List<Result> broken = results.stream()
                .filter(each -> !each.broken().isEmpty())
                .limit(10)
                .toList();
        if (!broken.isEmpty()) {
            html.append("<details><summary>Broken rules</summary><ul>");
            broken.forEach(run -> run.breaches()
                    .forEach(each -> html.append("<li>")
                            .append(text(run.key()))
                            .append(": ")
                            .append(text(each))));
            html.append("</ul></details>");
        }
    }

    private interface Figure {
        double of(RunStatistics.Second second, RunStatistics.Sums sums);
    }

    private static void plot(StringBuilder html, String title, List<Result> results, Figure figure) {
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
                        each -> figure.of(each.seconds().get(second), each.sums())));
            }
            series.add(values);
        });
        data(html, title, List.copyOf(arms.keySet()), series, results.get(0).faults(), false);
    }

    private static void servers(StringBuilder html, Map<String, List<Result>> arms) {
        List<List<Double>> series = new ArrayList<>();
        int most = arms.values().stream()
                .flatMap(List::stream)
                .mapToInt(each -> each.attemptsByServer().length)
                .max()
                .orElse(1);
        List<Double> ids = new ArrayList<>();
        for (int i = 1; i < most; i++) {
            ids.add((double) i);
        }
        series.add(ids);
        arms.values().forEach(runs -> {
            List<Double> values = new ArrayList<>();
            for (int i = 1; i < most; i++) {
                int id = i;
                values.add(mean(runs, each -> id < each.attemptsByServer().length ? each.attemptsByServer()[id] : 0));
            }
            series.add(values);
        });
        data(html, "Attempts by server", List.copyOf(arms.keySet()), series, List.of(), true);
    }

    private static void data(
            StringBuilder html,
            String title,
            List<String> names,
            List<List<Double>> series,
            List<Result.Trouble> faults,
            boolean points) {
        try {
            String json = JSON.writeValueAsString(
                    Map.of("title", title, "names", names, "series", series, "faults", faults, "points", points));
            html.append("<script type=\"application/json\" class=\"plot\">")
                    .append(json.replace("</", "<\\/"))
                    .append("</script>");
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("figures that can't be written", e);
        }
    }
}
