package org.hemlockpick.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * Forecasts the loads of the serving tasks of a worker for given paces of its fillers. Fillers are
 * expected to use their demand at their pace, or their part of the CPU that is left.
 */
final class LoadForecast {
  /** Share of its reservation that a serving task typically uses, in percent. */
  private static final int SERVING_USE_PERCENT = 60;

  private final InterferenceModel interference;
  private final Worker worker;
  private final double capacity;

  /** Highest own load of a serving task, by image. */
  private final Map<String, Double> ownLoads = new HashMap<>();

  /** CPU that fillers want at their pace, by image, in millicores. */
  private final Map<String, Double> wanted = new HashMap<>();

  private double wantedSum;

  /** Creates a forecast for a worker as if it had no fillers. */
  LoadForecast(InterferenceModel interference, Worker worker) {
    this.interference = interference;
    this.worker = worker;
    this.capacity = Math.max(1, worker.entry().capacity().cpuMillis());
    for (Run run : worker.runs()) {
      if (run.step().isServing()) {
        ownLoads.merge(run.step().image(), run.ownLoad().mean(), Math::max);
      }
    }
  }

  /** Creates a forecast for a worker whose fillers go on at their pace. */
  static LoadForecast withFillers(InterferenceModel interference, Worker worker) {
    LoadForecast forecast = new LoadForecast(interference, worker);
    for (Run run : worker.runs()) {
      if (run.step().filler()) {
        forecast.add(run.step(), run.pace());
      }
    }
    return forecast;
  }

  /** Adds a filler at a pace in percent; a negative one takes it away again. */
  void add(Step filler, int pacePercent) {
    double cpu = filler.demand().cpuMillis() * pacePercent / 100.0;
    wanted.merge(filler.image(), cpu, Double::sum);
    wantedSum += cpu;
  }

  /** Returns the CPU that fillers and serving tasks leave unused, in millicores. */
  long unusedCpu() {
    return (long) (availableCpu(worker) - wantedSum);
  }

  /** Returns the CPU that a worker has for fillers, in millicores. */
  private static long availableCpu(Worker worker) {
    return worker.free().cpuMillis() + worker.servingCpu() * (100 - SERVING_USE_PERCENT) / 100;
  }

  /** Returns the highest load of a serving task; 0 if there is none. */
  double worst() {
    double worst = 0;
    for (String serving : ownLoads.keySet()) {
      worst = Math.max(worst, load(serving));
    }
    return worst;
  }

  /** Returns the image of the serving tasks with the highest load; empty if there are none. */
  String worstImage() {
    String worst = "";
    double highest = -1;
    for (String serving : ownLoads.keySet()) {
      double load = load(serving);
      if (load > highest) {
        highest = load;
        worst = serving;
      }
    }
    return worst;
  }

  private double load(String serving) {
    double load = ownLoads.getOrDefault(serving, 0.0);
    double part = wantedSum == 0 ? 0 : Math.max(0, Math.min(1, availableCpu(worker) / wantedSum));
    for (Map.Entry<String, Double> filler : wanted.entrySet()) {
      load += interference.pressure(serving, filler.getKey()) * filler.getValue() * part / capacity;
    }
    return load;
  }
}
