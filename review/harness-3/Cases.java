import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.zip.GZIPOutputStream;

/** The cases of this review: {@code Cases NUMBER RECORD}, with TROUBLE=0 without the disruption. */
public final class Cases {
  private static final int HELD = 0;
  private static final int BROKEN = 1;
  private static final int NOT_RUN = 2;

  private static final int WORKERS = 10;
  private static final long WORKER_CPU = 32_000;
  private static final long TRAFFIC_MILLIS = 20_000;
  private static final long TROUBLE_AT_MILLIS = 5_000;

  private static final long STEP_MILLIS = 4_000;

  /** The bounds {@code contact_ms} and {@code visible_ms} of the pages. */
  private static final long CONTACT_MILLIS = 4_000;

  private static final long VISIBLE_MILLIS = 3_000;

  /** The bound {@code finish_s} of the pages. */
  private static final long FINISH_MILLIS = 14_000;

  /** Time for which a submission may have nothing running, as RULES.md says under LOST. */
  private static final long IDLE_MILLIS = 3_000;

  private static final long WATCH_MILLIS = 25_000;

  /** Number of callers of a crowd at each instance. */
  private static final int CROWD = 200;

  /** Time for which each of a crowd waits for an answer. */
  private static final int PATIENCE_MILLIS = 8_000;

  private final Zone zone;
  private final boolean troubled;
  private final List<Jobs.Job> ordinary = new CopyOnWriteArrayList<>();

  private Cases(Zone zone, boolean troubled) {
    this.zone = zone;
    this.troubled = troubled;
  }

  public static void main(String[] args) {
    int status = NOT_RUN;
    boolean troubled = !"0".equals(System.getenv("TROUBLE"));
    try (Zone zone = new Zone(Path.of("").toAbsolutePath(), Path.of(args[1]))) {
      zone.log.say("case " + args[0] + (troubled ? "" : " without the disruption"));
      new Cases(zone, troubled).play(args[0]);
      List<String> breaks = zone.jobs.breaks;
      status = breaks.isEmpty() ? HELD : BROKEN;
      zone.log.say(breaks.isEmpty() ? "the rule held" : "the rule was broken: " + breaks.get(0));
    } catch (Exception e) {
      System.out.println("could not run: " + e);
    }
    System.exit(status);
  }

  private void play(String number) throws Exception {
    switch (number) {
      // Case 11 is a day of the bench.
      case "12" -> playEntry();
      case "13" -> playWaiting();
      case "14" -> playCompressed();
      case "15" -> playCheckpoints();
      // Not among the five: REPORT-3.md names them.
      case "units" -> playUnits();
      case "steps" -> playSteps();
      case "counts" -> playCounts();
      case "lasting" -> playLasting();
      case "gang" -> playGang();
      default -> throw new IOException("no case " + number);
    }
  }

  private static ObjectNode submission(int steps, int count, long cpu, long memory) {
    ObjectNode body = Json.object().put("spec", "text");
    ArrayNode phases = body.putArray("phases");
    for (int i = 0; i < steps; i++) {
      ObjectNode phase = phases.addObject().put("count", count).put("cpu", cpu);
      phase.put("mem_mb", memory).put("estimate_ms", 600);
    }
    return body;
  }

  /** Two steps of 6 tasks, the second after the first. */
  private static ObjectNode ordinarySubmission() {
    ObjectNode body = submission(2, 6, 1_000, 16);
    ((ObjectNode) body.path("phases").get(1)).putArray("depends_on").add(0);
    return body;
  }

  private void startZone(int workers, long cpu, boolean guards) throws Exception {
    startZone(workers, cpu, guards, 3);
  }

  private void startZone(int workers, long cpu, boolean guards, int instances) throws Exception {
    zone.writeManifest(guards, 2);
    zone.addWorkers(workers, cpu, guards, "a");
    zone.start(instances);
  }

  private Jobs.Job send(ObjectNode body, long workMillis) {
    Jobs.Job job = zone.jobs.add(zone.newId(), body, workMillis);
    zone.log.add("sent " + job.id + ": " + job.tasks() + " tasks, " + job.body.length() + " bytes");
    zone.submit(job);
    return job;
  }

  /** Two ordinary submissions a second, with a disruption in between. */
  private void playTraffic(Runnable disruption) throws InterruptedException {
    long begin = zone.log.now();
    boolean done = !troubled;
    while (zone.log.now() - begin < TRAFFIC_MILLIS) {
      ordinary.add(send(ordinarySubmission(), 640));
      if (!done && zone.log.now() - begin >= TROUBLE_AT_MILLIS) {
        done = true;
        disruption.run();
      }
      Thread.sleep(500);
    }
    zone.log.say("end of the traffic");
  }

  /**
   * Checks LOST from {@code finish_s} after the end of the traffic: for 3 s, an accepted submission
   * has nothing running though a task's turn has come, there is capacity for it twice over, and
   * under half of the capacity is in use.
   */
  private void watchForLost(long watchMillis) throws InterruptedException {
    Thread.sleep(FINISH_MILLIS);
    zone.log.say("finish_s after the end of the traffic");
    Map<Jobs.Job, Long> since = new HashMap<>();
    Map<Jobs.Job, String> lost = new HashMap<>();
    long end = zone.log.now() + watchMillis;
    while (zone.log.now() < end) {
      synchronized (zone.jobs) {
        long now = zone.log.now();
        for (Jobs.Job job : ordinary) {
          boolean isIdle = job.accepted && job.done < job.tasks() && job.running == 0;
          boolean hasRoom = zone.freeCpu() >= 2 * 6_000 && 2 * zone.freeCpu() > zone.allCpu();
          if (!isIdle || !hasRoom) {
            since.remove(job);
          } else if (now - since.computeIfAbsent(job, key -> now) >= IDLE_MILLIS) {
            lost.putIfAbsent(job, "free " + zone.freeCpu() + " of " + zone.allCpu() + " millicores");
          }
        }
      }
      Thread.sleep(100);
    }
    for (Map.Entry<Jobs.Job, String> entry : lost.entrySet()) {
      Jobs.Job job = entry.getKey();
      long waited = (zone.log.now() - job.acceptedAt) / 1_000;
      zone.log.add(
          "%s was accepted %d s ago, has %d of %d tasks done and nothing running, %s"
              .formatted(job.id, waited, job.done, job.tasks(), entry.getValue()));
    }
    lost.keySet().stream().limit(2).forEach(zone::state);
    reportOrdinary();
    if (!lost.isEmpty()) {
      zone.jobs.addBreak(
          "LOST: %d accepted ordinary submissions have had nothing running for 3 s, with room free"
              .formatted(lost.size()));
    }
  }

  private void reportOrdinary() {
    synchronized (zone.jobs) {
      long accepted = ordinary.stream().filter(job -> job.accepted).count();
      long done = ordinary.stream().filter(job -> job.done == job.tasks()).count();
      zone.log.say(
          "%d ordinary submissions sent, %d accepted, all tasks done of %d"
              .formatted(ordinary.size(), accepted, done));
    }
  }

  /**
   * Submissions of many steps that need wider workers than there are: one of 3,000 steps,
   * and one of 1,000 each 4 s for as long as the system still starts tasks, 14 at most.
   */
  private void playSteps() throws Exception {
    startZone(WORKERS, WORKER_CPU, true);
    List<Jobs.Job> large = new ArrayList<>();
    long begin = zone.log.now();
    long end = begin + TRAFFIC_MILLIS;
    long nextAt = begin + TROUBLE_AT_MILLIS;
    int startsBefore = -1;
    while (zone.log.now() < end) {
      ordinary.add(send(ordinarySubmission(), 640));
      if (troubled && zone.log.now() >= nextAt) {
        nextAt += STEP_MILLIS;
        if (zone.jobs.starts == startsBefore) {
          zone.log.say("no task was started for 4 s");
          nextAt = Long.MAX_VALUE;
          end = zone.log.now() + STEP_MILLIS;
        } else if (large.size() <= 14) {
          startsBefore = zone.jobs.starts;
          large.add(send(wideSubmission(large.isEmpty() ? 3_000 : 1_000), 2_000));
          end = Math.max(end, zone.log.now() + 2 * STEP_MILLIS);
        }
      }
      Thread.sleep(500);
    }
    zone.log.say("end of the traffic");
    watchForLost(15_000);
    for (Jobs.Job job : large) {
      zone.log.say(
          "large submission: %d steps, %d bytes, answer %s, %d starts"
              .formatted(job.steps.size(), job.body.length(), job.answer, job.starts));
    }
  }

  /** Steps of one task each that needs 64 cores; no worker has as many. */
  private static ObjectNode wideSubmission(int steps) {
    return submission(steps, 1, 64_000, 16);
  }

  /** Submissions of many tasks. */
  private void playCounts() throws Exception {
    startZone(WORKERS, WORKER_CPU, true);
    List<Jobs.Job> large = new ArrayList<>();
    playTraffic(
        () -> {
          for (int i = 0; i < 60; i++) {
            large.add(send(submission(1, 9_000, 500, 16), 2_000));
          }
        });
    watchForLost(WATCH_MILLIS);
    long accepted = large.stream().filter(job -> job.accepted).count();
    zone.log.say(accepted + " of " + large.size() + " large submissions accepted");
    long ended = zone.entries.stream().filter(entry -> entry.ownEnds >= 3).count();
    for (Zone.Entry entry : zone.entries) {
      zone.log.say(entry.name + " ended by itself " + entry.ownEnds + " times");
    }
    if (ended >= 2) {
      zone.jobs.addBreak("Fault: " + ended + " of 3 machines' processes ended by themselves 3 times");
    }
  }

  /** One gang, of 40 tasks for each worker; only shown, as no rule names what is seen. */
  private void playGang() throws Exception {
    startZone(WORKERS, WORKER_CPU, true);
    ObjectNode body = submission(1, troubled ? 400 : 200, 100, 16);
    ((ObjectNode) body.path("phases").get(0)).put("gang", true);
    Jobs.Job gang = send(body, 2_000);
    for (int i = 0; i < 6; i++) {
      Thread.sleep(5_000);
      zone.log.say(
          "gang of %d: answer %s, %d starts, %d running, %d done"
              .formatted(gang.tasks(), gang.answer, gang.starts, gang.running, gang.done));
    }
  }

  /** 5,000 tasks that last, in one submission or in 250. */
  private void playLasting() throws Exception {
    startZone(WORKERS, WORKER_CPU, true);
    int count = troubled ? 5_000 : 20;
    List<Jobs.Job> lasting = new ArrayList<>();
    for (int i = 0; i < 5_000 / count; i++) {
      ObjectNode body = submission(1, count, 10, 8);
      ((ObjectNode) body.path("phases").get(0)).put("long_running", true);
      lasting.add(send(body, 0));
      Thread.sleep(troubled ? 0 : 30);
    }
    Thread.sleep(FINISH_MILLIS + 16_000);
    long end = zone.log.now() + WATCH_MILLIS;
    Map<String, Boolean> idle = new HashMap<>();
    for (Jobs.Job job : lasting) {
      for (int i = 0; job.accepted && i < job.tasks(); i++) {
        idle.put(job.id + ".0.0." + i, true);
      }
    }
    zone.log.say(idle.size() + " tasks that last were accepted 30 s ago");
    while (zone.log.now() < end) {
      synchronized (zone.jobs) {
        lasting.forEach(job -> idle.keySet().removeAll(job.atWork));
      }
      Thread.sleep(200);
    }
    zone.log.say(
        "%d of them have not run for %d s, free %d of %d millicores"
            .formatted(idle.size(), WATCH_MILLIS / 1_000, zone.freeCpu(), zone.allCpu()));
    if (!idle.isEmpty()) {
      zone.jobs.addBreak("LOST: " + idle.size() + " tasks that last do not run, with room free");
    }
  }

  /** Case 15: one submission of many tasks that checkpoint, before the ordinary traffic. */
  private void playCheckpoints() throws Exception {
    startZone(4, 64_000, true);
    ObjectNode body = submission(1, 6_000, 30, 16);
    ((ObjectNode) body.path("phases").get(0)).put("checkpointing", true);
    Jobs.Job large = troubled ? send(body, 15_000) : null;
    Thread.sleep(15_000);
    playTraffic(() -> {});
    watchForLost(WATCH_MILLIS);
    if (large != null) {
      zone.log.say(
          "large submission: answer %s, %d of %d tasks done, all of them long ago; shown as %s"
              .formatted(large.answer, large.done, large.tasks(), zone.state(large)));
    }
  }

  /** Case 13: the process that holds the cell is killed, and the next two as they take it. */
  private void playWaiting() throws Exception {
    startZone(WORKERS, WORKER_CPU, true, 6);
    long begin = zone.log.now();
    long killAt = begin + 8_000;
    int kills = 0;
    long claimsSeen = 0;
    while (zone.log.now() - begin < 30_000) {
      Jobs.Job job = zone.jobs.add(zone.newId(), submission(1, 1, 100, 16), 300);
      ordinary.add(job);
      zone.submit(job);
      zone.entries.forEach(this::askWaiting);
      Thread.sleep(100);
      String holder = zone.store.holder();
      long now = zone.log.now();
      if (troubled && kills < 3 && now >= killAt && (kills == 0 || zone.store.claims() > claimsSeen)) {
        claimsSeen = zone.store.claims();
        kills++;
        zone.entries.stream().filter(entry -> entry.name.equals(holder)).forEach(Zone.Entry::kill);
      }
    }
    Thread.sleep(4_000);
    reportOrdinary();
  }

  /** Asks an instance, and checks MIXED if it was in touch all the while. */
  private void askWaiting(Zone.Entry entry) {
    long askedAt = zone.log.now();
    zone.waiting(
        entry,
        waiting -> {
          long now = zone.log.now();
          boolean inTouch = entry.ready && now - entry.disturbedAt > CONTACT_MILLIS;
          if (waiting < 0 || !inTouch) {
            return;
          }
          long oldEnough = askedAt - VISIBLE_MILLIS - 2_000;
          long count;
          synchronized (zone.jobs) {
            count =
                ordinary.stream()
                    .filter(job -> job.accepted && job.acceptedAt < oldEnough && job.starts == 0)
                    .count();
          }
          zone.log.add(entry.name + " says that " + waiting + " wait, of at least " + count);
          if (2 * waiting < count) {
            zone.jobs.addBreak(
                "MIXED: %s says that %d submissions wait; %d accepted over 5 s before haven't begun"
                    .formatted(entry.name, waiting, count));
          }
        });
  }

  /** Case 12: another writer writes entries of workers, with fields missing and of another type. */
  private void playEntry() throws Exception {
    startZone(WORKERS, WORKER_CPU, true);
    long begin = zone.log.now();
    int written = 0;
    while (zone.log.now() - begin < 27_000) {
      ordinary.add(send(submission(1, 8, 2_000, 16), 6_000));
      Thread.sleep(1_000);
      if (troubled && written < 4 && zone.log.now() - begin > 8_000 + 5_300L * written) {
        writeForeign(zone.workers.get(written), zone.workers.get(written + 1));
        written++;
      }
    }
    Thread.sleep(12_000);
    reportOrdinary();
  }

  /** Writes the entry of a worker with the address of another one. */
  private void writeForeign(Worker named, Worker addressed) {
    ObjectNode copy = Json.object().put("service", Jobs.SERVICE).put("state", "ready");
    copy.put("address", addressed.address()).put("born", "" + named.entry().path("born").asLong());
    copy.putObject("capacity").put("cpu", "" + named.cpu).put("mem_mb", "" + named.memory);
    zone.log.say("another writer writes servers/" + named.id + ": " + copy);
    zone.store.put("servers", named.id, copy);
  }

  /** A submission that asks for more memory than any worker has. */
  private void playUnits() throws Exception {
    startZone(WORKERS, WORKER_CPU, false);
    long gib = 1_073_741_824L;
    List<Jobs.Job> hopeless = new ArrayList<>();
    long memory = troubled ? 4 * gib : gib;
    hopeless.add(send(submission(1, 1, 500, memory), 2_000));
    playTraffic(() -> hopeless.add(send(submission(1, 1, 500, memory), 2_000)));
    Thread.sleep(5_000);
    reportOrdinary();
    for (Jobs.Job job : hopeless) {
      String state = zone.state(job);
      zone.log.say(
          "asks for %d MB: answer %s, %d starts, shown as %s"
              .formatted(job.steps.get(0).memory(), job.answer, job.starts, state));
    }
  }

  /** Case 14: a crowd sends bodies of legal size, compressed or not. */
  private void playCompressed() throws Exception {
    startZone(WORKERS, WORKER_CPU, true);
    byte[] body = crowdBody();
    zone.log.say("the crowd's bodies have " + body.length + " bytes");
    playTraffic(() -> {});
    playCrowd(body);
    zone.log.say("the crowd has left");
    Thread.sleep(FINISH_MILLIS);
    zone.log.say("finish_s after that");
    long unanswered = 0;
    for (Jobs.Job job : ordinary.subList(0, 4)) {
      String state = zone.state(job);
      zone.log.say(job.id + ", " + job.done + " of 12 tasks done, is shown as " + state);
      unanswered += state.equals("none") ? 1 : 0;
    }
    for (Zone.Entry entry : zone.entries) {
      String ready = entry.ready ? "ready" : "not ready";
      zone.log.say(entry.name + " is " + ready + " and ended by itself " + entry.ownEnds + " times");
    }
    reportOrdinary();
    if (unanswered > 0) {
      zone.jobs.addBreak(
          "LOST: asked three times, once at each instance, %d of 4 accepted submissions get no answer"
              .formatted(unanswered));
    }
  }

  private byte[] crowdBody() throws IOException {
    String head = "{\"spec\":\"text\",\"phases\":[{\"count\":1,\"cpu\":100,\"mem_mb\":16}]";
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    byte[] blanks = " ".repeat(100_000).getBytes(StandardCharsets.US_ASCII);
    try (OutputStream out = troubled ? new GZIPOutputStream(bytes) : bytes) {
      out.write(head.getBytes(StandardCharsets.US_ASCII));
      for (int i = 0; i < (troubled ? 2_600 : 2); i++) {
        out.write(blanks);
      }
      out.write('}');
    }
    return bytes.toByteArray();
  }

  /** Each of the crowd sends one request, waits for an answer, and leaves. */
  private void playCrowd(byte[] body) throws InterruptedException {
    CountDownLatch left = new CountDownLatch(CROWD * zone.entries.size());
    for (int i = 0; i < CROWD; i++) {
      for (Zone.Entry entry : zone.entries) {
        Thread caller = new Thread(() -> sendRaw(entry, body, left));
        caller.setDaemon(true);
        caller.start();
      }
    }
    boolean unused = left.await(2 * PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void sendRaw(Zone.Entry entry, byte[] body, CountDownLatch left) {
    String head =
        "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n"
            .formatted(
                Zone.PREFIX,
                zone.newId(),
                Zone.HOST,
                troubled ? "Content-Encoding: gzip\r\n" : "",
                body.length);
    try (Socket socket = new Socket(Zone.HOST, entry.port)) {
      socket.setSoTimeout(PATIENCE_MILLIS);
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(body);
      InputStream in = socket.getInputStream();
      byte[] answer = in.readNBytes(12);
      zone.log.add("crowd at " + entry.name + ": " + new String(answer, StandardCharsets.US_ASCII));
    } catch (IOException e) {
      zone.log.add("crowd at " + entry.name + ": " + e.getMessage());
    } finally {
      left.countDown();
    }
  }
}
