package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.hemlockpick.cell.CellFaults.Kind;
import org.hemlockpick.cell.CellFaults.Target;
import org.hemlockpick.cell.rows.RowLimits;
import org.jspecify.annotations.Nullable;

/**
 * Tests jobs of a cell through each kind of fault, in the second before a holder loses the cell,
 * while nobody holds it, and in the second after the next one has taken it.
 */
class HolderChangeFuzzTest {
  private static final int NODES = 3;
  private static final int WORKERS = 4;
  private static final int ZONES = 2;
  private static final int ROUNDS = 6;
  private static final long LONG_LEASE_MILLIS = 10_000;

  /** Time around a change of holder in which faults strike, in milliseconds. */
  private static final long AROUND_MILLIS = 1_000;

  /** Time in which a fault by itself ends, or most of its effect, in milliseconds. */
  private static final long MAX_ALONE_MILLIS = 9_000;

  /** Longer than a play, in milliseconds. */
  private static final long STATUS_KEEP_MILLIS = 900_000;

  private static final long MAX_TAKEOVER_MILLIS = 15_000;
  private static final long MAX_PAUSE_MILLIS = 2_500;

  /** Time without faults before jobs are submitted that are to start soon, in milliseconds. */
  private static final long SETTLE_MILLIS = 22_000;

  /** Time within which draining workers leave and processes stop, in milliseconds. */
  private static final long LAST_FAULTS_MILLIS = 4_000;

  private static final int CALM_JOBS = 8;
  private static final long RECOVERY_MILLIS = 30_000;

  /** Size of rows that hold few checkpoints, in bytes. */
  private static final int SMALL_ROW_BYTES = 1_300;

  private static final int CHECKPOINT_BYTES = 400;

  /** What takes the cell from its holder. */
  private static final List<Kind> CHANGES =
      List.of(
          Kind.KILL_FOR_A_WHILE,
          Kind.PAUSE,
          Kind.PAUSE_BEFORE_SENDING,
          Kind.SUSPEND,
          Kind.START_ALONGSIDE,
          Kind.STOP_AS_PLANNED,
          Kind.CUT_STORE_FOR_A_WHILE);

  /** What any kind is drawn from; their order belongs to the seeds. */
  private static final List<Kind> ANY_KINDS =
      Stream.of(Kind.values()).filter(kind -> kind != Kind.EVACUATE).toList();

  private int jobs;
  private int rowBytes = RowLimits.DEFAULT_ROW_BYTES;
  private int checkpointBytes;

  /** Whether the rows of the newest job are refused in every third round. */
  private boolean refusesRows;

  /** Plays each kind without a change of holder but those that it causes. */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void faultsAloneDoNoHarm(@ForAll Kind kind, @ForAll @IntRange(min = 1, max = 1) int number) {
    new HolderChangeFuzzTest().playAlone(kind, 20261205L * number, leaseMillis(number));
  }

  /** Plays each kind of unusual jobs without a change of holder. */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void unusualJobsAloneDoNoHarm(
      @ForAll UnusualJobs.Kind kind, @ForAll @IntRange(min = 1, max = 3) int number) {
    SplittableRandom random = generator(kind.name(), number);
    new HolderChangeFuzzTest()
        .play(null, kind, false, random, 20261205L * number, leaseMillis(number));
  }

  /** Plays each kind with each number. */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void faultsAroundAChangeOfHolderDoNoHarm(
      @ForAll Kind kind, @ForAll @IntRange(min = 1, max = 2) int number) {
    new HolderChangeFuzzTest().play(kind, 20261205L * number, leaseMillis(number));
  }

  /** Plays each kind of unusual jobs with each number. */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void unusualJobsAroundAChangeOfHolderDoNoHarm(
      @ForAll UnusualJobs.Kind kind, @ForAll @IntRange(min = 1, max = 6) int number) {
    new HolderChangeFuzzTest().play(kind, 20261205L * number, leaseMillis(number));
  }

  /** Plays kinds with rows that hold the checkpoints of few tasks, and are refused for a while. */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void changesOfHolderLoseNothingOfJobsThatOutgrowTheirRows(
      @ForAll("kindsOfLoss") Kind kind, @ForAll @IntRange(min = 1, max = 3) int number) {
    HolderChangeFuzzTest test = new HolderChangeFuzzTest();
    test.rowBytes = SMALL_ROW_BYTES;
    test.checkpointBytes = CHECKPOINT_BYTES;
    test.refusesRows = number > 1;
    test.play(kind, 20261207L * number, leaseMillis(number));
  }

  @Provide
  Arbitrary<Kind> kindsOfLoss() {
    return Arbitraries.of(
        Kind.KILL_FOR_A_WHILE,
        Kind.SUSPEND,
        Kind.CUT_STORE_FOR_A_WHILE,
        Kind.SILENCE_STORE_FOR_A_WHILE,
        Kind.FAIL_RUNS);
  }

  /** Guards against judging a job that was given up after crashes under it as one that waits. */
  @Example
  void jobThatIsGivenUpAfterThreeCrashesIsNotAwaited() {
    new HolderChangeFuzzTest().play(Kind.CRASH_SEVERAL, 91195, LONG_LEASE_MILLIS);
  }

  private static long leaseMillis(int number) {
    return number % 2 == 0 ? LONG_LEASE_MILLIS : CellWorld.LEASE_MILLIS;
  }

  private static SplittableRandom generator(String kind, long seed) {
    return new SplittableRandom(seed + kind.hashCode());
  }

  void play(Kind kind, long seed, long leaseMillis) {
    play(kind, null, true, generator(kind.name(), seed), seed, leaseMillis);
  }

  void playAlone(Kind kind, long seed, long leaseMillis) {
    play(kind, null, false, generator(kind.name(), seed), seed, leaseMillis);
  }

  void play(UnusualJobs.Kind kind, long seed, long leaseMillis) {
    play(null, kind, true, generator(kind.name(), seed), seed, leaseMillis);
  }

  private void play(
      @Nullable Kind kind,
      UnusualJobs.@Nullable Kind unusual,
      boolean changesHolder,
      SplittableRandom random,
      long seed,
      long leaseMillis) {
    boolean isEvacuation = kind == Kind.EVACUATE;
    CellWorld world =
        new CellWorld(
            seed,
            NODES,
            WORKERS,
            leaseMillis,
            STATUS_KEEP_MILLIS,
            isEvacuation ? ZONES : 1,
            isEvacuation ? Evacuations.BOUND_MILLIS : 0,
            rowBytes);
    world.workers.checkpointBytes = checkpointBytes;
    StartWatchdog watchdog = new StartWatchdog(world, leaseMillis);
    CellFaults faults = new CellFaults(world, random, WORKERS);
    UnusualJobs unusualJobs = new UnusualJobs(world, random);
    world.setGuardsCapacity(random.nextBoolean());
    world.workers.failureProbability = random.nextInt(2) * 0.05;
    world.workers.runMillis = 200L + random.nextInt(3_000);
    world.workers.returnsUnderOtherIdentifier = false;
    world.time.runFor(leaseMillis);
    unusualJobs.submitLasting(0, 1 + random.nextInt(WORKERS));
    for (int i = 0; i < ROUNDS; i++) {
      submit(world, random);
      world.store.refusedProgress = refusesRows && i % 3 == 1 ? "j" + jobs : "";
      world.time.runFor(random.nextLong(MAX_PAUSE_MILLIS));
      Runnable strike =
          () -> {
            if (kind != null) {
              faults.strike(kind, target(world, random));
            }
            if (unusual != null) {
              unusualJobs.submit(unusual, random.nextInt(NODES));
            }
            if (changesHolder && (kind == null || random.nextInt(3) == 0)) {
              faults.strike(anyKind(random), target(world, random));
            }
          };
      if (changesHolder) {
        playRound(world, faults, random, strike);
      } else {
        strike.run();
        world.time.runFor(MAX_ALONE_MILLIS);
      }
    }
    faults.heal();
    world.store.refusedProgress = "";
    world.time.runFor(LAST_FAULTS_MILLIS);
    faults.heal();
    world.time.runFor(SETTLE_MILLIS);
    for (int i = 0; i < CALM_JOBS; i++) {
      submit(world, random);
      world.time.runFor(random.nextLong(MAX_PAUSE_MILLIS));
    }
    world.time.runFor(RECOVERY_MILLIS);
    unusualJobs.cancelEndless();
    world.time.runFor(MAX_TAKEOVER_MILLIS);
    assertTrue(watchdog.checks() > 50, () -> watchdog.checks() + " checks");
    assertEquals(List.of(), world.workers.violations, () -> String.join("\n", world.log));
    assertEquals(List.of(), watchdog.violations, () -> String.join("\n", world.log));
    assertEquals(List.of(), world.unfinished(), () -> String.join("\n", world.log));
    assertEquals(List.of(), unusualJobs.notEnded(), () -> String.join("\n", world.log));
    assertEquals(List.of(), world.workers.violations, () -> String.join("\n", world.log));
  }

  /** Takes the cell from its holder, with strikes shortly before, between and after. */
  private static void playRound(
      CellWorld world, CellFaults faults, SplittableRandom random, Runnable strike) {
    int moments = 1 + random.nextInt(7);
    if ((moments & 1) != 0) {
      strike.run();
      world.time.runFor(random.nextLong(AROUND_MILLIS));
    }
    CellWorld.Node holder = holder(world);
    if (holder == null) {
      holder = world.nodes.get(random.nextInt(NODES));
    }
    CellMember former = holder.process;
    long millis = 8_500 + random.nextLong(4_000);
    long brief = random.nextLong(2_000);
    Kind change = CHANGES.get(random.nextInt(CHANGES.size()));
    if (former != null) {
      faults.strike(change, new Target(holder, "w0", () -> millis, () -> brief));
    }
    if ((moments & 2) != 0) {
      world.time.runFor(random.nextLong(MAX_PAUSE_MILLIS));
      strike.run();
    }
    awaitOther(world, former);
    if ((moments & 4) != 0) {
      world.time.runFor(random.nextLong(AROUND_MILLIS));
      strike.run();
    }
    world.time.runFor(random.nextLong(MAX_PAUSE_MILLIS));
  }

  private static CellWorld.@Nullable Node holder(CellWorld world) {
    return world.nodes.stream()
        .filter(node -> node.process != null && node.process.isHolder())
        .findFirst()
        .orElse(null);
  }

  private static void awaitOther(CellWorld world, @Nullable CellMember former) {
    long until = world.time.millis() + MAX_TAKEOVER_MILLIS;
    while (world.time.millis() < until && !isHeldByOther(world, former)) {
      world.time.runFor(10);
    }
  }

  private static boolean isHeldByOther(CellWorld world, @Nullable CellMember former) {
    return world.nodes.stream()
        .map(node -> node.process)
        .anyMatch(process -> process != null && process != former && process.isHolder());
  }

  /** Returns any kind but an evacuation, which most worlds do not have. */
  private static Kind anyKind(SplittableRandom random) {
    return ANY_KINDS.get(random.nextInt(ANY_KINDS.size()));
  }

  private static Target target(CellWorld world, SplittableRandom random) {
    CellWorld.Node any = world.nodes.get(random.nextInt(NODES));
    CellWorld.Node holder = holder(world);
    CellWorld.Node node = holder == null || random.nextInt(3) == 0 ? any : holder;
    String worker = "w" + random.nextInt(WORKERS);
    long millis = 500 + random.nextLong(7_500);
    long brief = random.nextLong(2_200);
    return new Target(node, worker, () -> millis, () -> brief);
  }

  private void submit(CellWorld world, SplittableRandom random) {
    int count = 1 + random.nextInt(4);
    Step first =
        switch (random.nextInt(5)) {
          case 0 -> CellWorld.constrainedStep(count, true, 0);
          case 1 -> CellWorld.constrainedStep(count, false, 1);
          default -> CellWorld.step(count);
        };
    world.submit(
        random.nextInt(NODES), "j" + ++jobs, first, CellWorld.step(1 + random.nextInt(3), 0));
  }
}
