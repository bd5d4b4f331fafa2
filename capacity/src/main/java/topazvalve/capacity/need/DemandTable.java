package topazvalve.capacity.need;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/** The table that a measurement ends with. */
public record DemandTable(List<ResourceDemand> needs) {

    public DemandTable {
        needs = List.copyOf(needs);
    }

    /** Those over their budget, the furthest first. */
    public List<ResourceDemand> over() {
        return needs.stream()
                .filter(ResourceDemand::over)
                .sorted(Comparator.comparingDouble(ResourceDemand::ratio).reversed())
                .toList();
    }

    /** What belongs to one tier alone. */
    public DemandTable of(ResourceDemand.Tier tier) {
        return new DemandTable(
                needs.stream().filter(each -> each.tier() == tier).toList());
    }

    /** The tiers that have a line. */
    public List<ResourceDemand.Tier> tiers() {
        return needs.stream().map(ResourceDemand::tier).distinct().toList();
    }

    /** Whether every ratio of this tier is 1 or less. */
    public boolean kept(ResourceDemand.Tier tier) {
        return needs.stream().noneMatch(each -> each.tier() == tier && each.over());
    }

    /** As Markdown, one line for each need of a tier. */
    public List<String> lines(ResourceDemand.Tier tier) {
        List<String> body = needs.stream()
                .filter(each -> each.tier() == tier)
                .map(DemandTable::line)
                .toList();
        return java.util.stream.Stream.concat(
                        List.of(
                                "| role | when | what | need | allowed | ratio | how | from |",
                                "| --- | --- | --- | --- | --- | --- | --- | --- |")
                                .stream(),
                        body.stream())
                .toList();
    }

    private static String line(ResourceDemand need) {
        return "| "
                + String.join(
                        " | ",
                        need.role(),
                        need.when(),
                        need.what(),
                        text(need.need().value()) + " " + need.unit(),
                        text(need.allowed()) + " " + need.unit(),
                        (need.over() ? "**" : "") + text(need.ratio()) + (need.over() ? "**" : ""),
                        need.need().origin().word(),
                        need.need().from())
                + " |";
    }

    /** Three figures that count, or whole numbers with separators from a thousand on. */
    static String text(double value) {
        double size = Math.abs(value);
        String form = size >= 1000
                ? "%,.0f"
                : size >= 100
                        ? "%.0f"
                        : size >= 10 ? "%.1f" : size >= 1 ? "%.2f" : size >= 0.0005 || size == 0 ? "%.3f" : "%.1e";
        return String.format(Locale.ROOT, form, value);
    }
}
