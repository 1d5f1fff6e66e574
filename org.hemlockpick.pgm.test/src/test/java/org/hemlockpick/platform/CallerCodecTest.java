package org.hemlockpick.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.hemlockpick.cell.CallerReply;
import org.hemlockpick.cell.JobAddress;
import org.hemlockpick.cell.JobState;
import org.hemlockpick.cell.ResourceAmounts;
import org.hemlockpick.cell.Step;
import org.hemlockpick.cell.Submission;
import org.hemlockpick.errors.ResultCode;
import org.junit.jupiter.api.Test;

class CallerCodecTest {
  private static Optional<Submission> read(String body) {
    return CallerCodec.parseSubmission("5c0e7a21d94b36f8", "queue", body.getBytes(UTF_8), 77);
  }

  @Test
  void parsesStepsWithTheirRequirements() {
    Submission job =
        read("{\"spec\":\"s\",\"phases\":[{\"count\":4,\"cpu\":500,\"mem_mb\":256,"
                + "\"estimate_ms\":900,\"affinity\":\"r1-3\"},{\"count\":20,\"cpu\":2000,"
                + "\"mem_mb\":1024,\"depends_on\":[0],\"checkpointing\":true,"
                + "\"fill_count\":true,\"image\":\"i\"}]}")
            .orElseThrow();
    Step first = job.steps().get(0);
    Step second = job.steps().get(1);
    assertEquals(4, first.count());
    assertEquals(new ResourceAmounts(500, 256, 0), first.demand());
    assertEquals("r1-3", first.preferredRack());
    assertNull(first.requiredLabel());
    assertEquals(List.of(0), second.dependsOn());
    assertTrue(second.checkpoints());
    assertTrue(second.filler());
    assertEquals(77, job.acceptedAtMillis());
  }

  @Test
  void parsesLongRunningTasks() {
    Step step =
        read("{\"spec\":\"s\",\"phases\":[{\"count\":1,\"cpu\":1,\"mem_mb\":1,"
                + "\"long_running\":true,\"target_ms\":50,\"max_unavailable\":0}]}")
            .orElseThrow()
            .steps()
            .get(0);
    assertTrue(step.isServing());
    assertEquals(0, step.maxUnavailable());
  }

  @Test
  void rejectsMalformedJobs() {
    assertTrue(read("").isEmpty());
    assertTrue(read("[]").isEmpty());
    assertTrue(read("{\"phases\":[]}").isEmpty());
    assertTrue(read("{\"phases\":[{\"count\":0}]}").isEmpty());
    assertTrue(read("{\"phases\":[{\"count\":1,\"depends_on\":[0]}]}").isEmpty());
    assertTrue(read("{\"phases\":[{\"count\":-5000000000}]}").isEmpty());
    assertTrue(read("{\"phases\":[7]}").isEmpty());
  }

  /** Guards against a number beyond the range that is taken for a small one. */
  @Test
  void keepsNumbersOfTasksAndOccurrencesLarge() {
    for (String number : List.of("4294967297", "18446744073709551617")) {
      Submission job =
          read("{\"phases\":[{\"count\":" + number + "}],\"repeat_count\":" + number + "}")
              .orElseThrow();
      assertEquals(Integer.MAX_VALUE, job.steps().get(0).count());
      assertEquals(Integer.MAX_VALUE, job.repeatCount());
    }
  }

  @Test
  void distinguishesJobIdsFromOtherPaths() {
    assertTrue(CallerCodec.isJobId("5c0e7a21d94b36f8"));
    assertFalse(CallerCodec.isJobId("5c0e7a21d94b36f"));
    assertFalse(CallerCodec.isJobId("5c0e7a21d94b36f8/x"));
  }

  @Test
  void splitsThePathOfAJob() {
    JobAddress job = CallerCodec.jobAddress("h", "/a/b/5c0e7a21d94b36f8").orElseThrow();
    assertEquals(new JobAddress("h", "/a/b/", "5c0e7a21d94b36f8"), job);
    assertTrue(CallerCodec.jobAddress("h", "/a/b/").isEmpty());
    assertTrue(CallerCodec.jobAddress("h", "/a/5c0e7a21d94b36f8/x").isEmpty());
  }

  @Test
  void encodesJobStatesAndQueueLengths() {
    CallerReply canceled = new CallerReply(ResultCode.DONE, JobState.CANCELED, 0, 0);
    assertEquals("{\"state\":\"cancelled\"}", new String(CallerCodec.encodeReply(canceled), UTF_8));
    CallerReply waiting = new CallerReply(ResultCode.DONE, null, 12, 0);
    assertEquals("{\"pending\":12}", new String(CallerCodec.encodeReply(waiting), UTF_8));
  }

  @Test
  void mapsResultCodesToHttpStatuses() {
    assertEquals(410, CallerCodec.httpStatus(ResultCode.UNKNOWN_JOB));
    assertEquals(503, CallerCodec.httpStatus(ResultCode.STORE_UNREACHABLE));
    assertEquals(504, CallerCodec.httpStatus(ResultCode.OUTCOME_UNKNOWN));
  }
}
