package org.hemlockpick.capacity;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Prints measured values as a table and as CSV, with the slope of a line fitted to them. */
final class Report {
  private record Line(double size, double value) {}

  private final PrintStream out;
  private final String title;
  private final String sizeName;
  private final String valueName;
  private final List<Line> lines = new ArrayList<>();

  Report(PrintStream out, String title, String sizeName, String valueName) {
    this.out = out;
    this.title = title;
    this.sizeName = sizeName;
    this.valueName = valueName;
  }

  void add(double size, double value) {
    lines.add(new Line(size, value));
  }

  /** Prints the added values and their least-squares slope. */
  void print() {
    out.printf("%n## %s%n%n| %s | %s |%n| ---: | ---: |%n", title, sizeName, valueName);
    lines.forEach(line -> out.printf(Locale.ROOT, "| %.0f | %.2f |%n", line.size, line.value));
    out.printf(Locale.ROOT, "%nslope %.4f, value at size 0: %.2f%n", slope(), intercept());
    for (Line line : lines) {
      out.printf(
          Locale.ROOT,
          "csv,%s,%s,%.0f,%s,%.4f%n",
          title,
          sizeName,
          line.size,
          valueName,
          line.value);
    }
  }

  private double slope() {
    double meanSize = meanSize();
    double meanValue = meanValue();
    double covariance = 0;
    double variance = 0;
    for (Line line : lines) {
      covariance += (line.size - meanSize) * (line.value - meanValue);
      variance += (line.size - meanSize) * (line.size - meanSize);
    }
    return variance == 0 ? 0 : covariance / variance;
  }

  private double intercept() {
    return meanValue() - slope() * meanSize();
  }

  private double meanSize() {
    return lines.stream().mapToDouble(Line::size).average().orElse(0);
  }

  private double meanValue() {
    return lines.stream().mapToDouble(Line::value).average().orElse(0);
  }
}
