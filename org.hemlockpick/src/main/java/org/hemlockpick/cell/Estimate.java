package org.hemlockpick.cell;

/** An estimate of a quantity that changes, with its variance. */
final class Estimate {
  private double mean;
  private double variance;

  Estimate(double mean, double variance) {
    this.mean = mean;
    this.variance = variance;
  }

  double mean() {
    return mean;
  }

  double variance() {
    return variance;
  }

  /** Lets the variance grow by an amount, up to a maximum, as the quantity may have changed. */
  void drift(double amount, double maxVariance) {
    variance = Math.max(variance, Math.min(maxVariance, variance + amount));
  }

  /** Moves the mean towards a value by a share of the distance. */
  void approach(double value, double share) {
    mean += (value - mean) * share;
  }

  /**
   * Corrects the estimate after a measurement of a weighted sum of quantities.
   *
   * @param error measured minus expected sum
   * @param weight weight of this quantity in the sum
   * @param sumVariance variance of the measured sum
   * @param max maximum of the quantity, whose minimum is 0
   */
  void correct(double error, double weight, double sumVariance, double max) {
    double gain = variance * weight / sumVariance;
    mean = Math.max(0, Math.min(max, mean + gain * error));
    variance *= 1 - gain * weight;
  }
}
