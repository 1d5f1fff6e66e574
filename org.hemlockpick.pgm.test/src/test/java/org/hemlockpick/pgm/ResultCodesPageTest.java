package org.hemlockpick.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.hemlockpick.errors.ResultCode;
import org.junit.jupiter.api.Test;

class ResultCodesPageTest {
  private static final Path PAGE = Path.of("..", "docs", "RESULT-CODES.md");

  @Test
  void listsEveryResultCode() throws IOException {
    List<String> rows =
        Files.readAllLines(PAGE).stream().filter(line -> line.matches("\\| \\d.*")).toList();

    assertEquals(Arrays.stream(ResultCode.values()).map(ResultCodesPageTest::row).toList(), rows);
  }

  private static String row(ResultCode code) {
    String work =
        switch (code.effect()) {
          case RAN -> "ran";
          case NOT_RUN -> "not run";
          case UNKNOWN -> "unknown";
        };
    return String.format(
        "| %d | `%s` | %s | %d | %s |", code.number(), code, work, code.httpStatus(), code.text());
  }
}
