package topazvalve.capacity.demand;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * The result of a capacity measurement.
 *
 * @param rows the demands of all tiers, in the order in which they are printed
 */
public record DemandTable(List<ResourceDemand> rows) {
    private static final String HEADER = "| role | when | what | need | allowed | ratio | how | from |";
    private static final String HEADER_SEPARATOR = "| --- | --- | --- | --- | --- | --- | --- | --- |";
    private static final String BOLD = "**";
    /** Below this, three decimals would print as zero. */
    private static final double MIN_FIXED_POINT = 0.0005;

    /** Creates a table of these rows. */
    public DemandTable {
        rows = List.copyOf(rows);
    }

    /** Returns the rows that exceed their budget, the highest ratio first. */
    public List<ResourceDemand> exceeded() {
        return rows.stream()
                .filter(ResourceDemand::exceedsBudget)
                .sorted(Comparator.comparingDouble(ResourceDemand::ratio).reversed())
                .toList();
    }

    /** Returns the table with the rows of one tier only. */
    public DemandTable ofTier(ResourceDemand.Tier tier) {
        return new DemandTable(rows.stream().filter(row -> row.tier() == tier).toList());
    }

    /** Returns the tiers that have a row. */
    public List<ResourceDemand.Tier> tiers() {
        return rows.stream().map(ResourceDemand::tier).distinct().toList();
    }

    /** Returns whether no row of a tier exceeds its budget. */
    public boolean isWithinBudget(ResourceDemand.Tier tier) {
        return rows.stream().noneMatch(row -> row.tier() == tier && row.exceedsBudget());
    }

    /** Returns the rows of a tier as a Markdown table, one line each after the header. */
    public List<String> lines(ResourceDemand.Tier tier) {
        List<String> lines = new ArrayList<>(List.of(HEADER, HEADER_SEPARATOR));
        for (ResourceDemand row : rows) {
            if (row.tier() == tier) {
                lines.add(line(row));
            }
        }
        return List.copyOf(lines);
    }

    private static String line(ResourceDemand row) {
        String emphasis = row.exceedsBudget() ? BOLD : "";
        String cells = String.join(
                " | ",
                row.role(),
                row.situation(),
                row.resource(),
                format(row.demand().value()) + " " + row.unit(),
                format(row.budget()) + " " + row.unit(),
                emphasis + format(row.ratio()) + emphasis,
                row.demand().origin().label(),
                row.demand().basis());
        return "| " + cells + " |";
    }

    /** Formats a value with three significant digits, or from 1,000 on as a whole number with thousands separators. */
    static String format(double value) {
        return String.format(Locale.ROOT, pattern(Math.abs(value)), value);
    }

    private static String pattern(double magnitude) {
        if (magnitude >= 1000) {
            return "%,.0f";
        }
        if (magnitude >= 100) {
            return "%.0f";
        }
        if (magnitude >= 10) {
            return "%.1f";
        }
        if (magnitude >= 1) {
            return "%.2f";
        }
        return magnitude >= MIN_FIXED_POINT || magnitude == 0 ? "%.3f" : "%.1e";
    }
}
