package org.hemlockpick.pgm;

import java.util.ArrayList;
import java.util.List;

/** Compares two texts line by line. */
final class LineDiff {
  private LineDiff() {}

  /** Returns the lines that differ, prefixed with "- " if removed and "+ " if added. */
  static List<String> of(String before, String after) {
    List<String> oldLines = before.lines().toList();
    List<String> newLines = after.lines().toList();
    int[][] common = commonLengths(oldLines, newLines);
    List<String> changes = new ArrayList<>();
    int i = 0;
    int j = 0;
    while (i < oldLines.size() || j < newLines.size()) {
      boolean bothRemain = i < oldLines.size() && j < newLines.size();
      if (bothRemain && oldLines.get(i).equals(newLines.get(j))) {
        i++;
        j++;
      } else if (j == newLines.size() || (bothRemain && common[i + 1][j] >= common[i][j + 1])) {
        changes.add("- " + oldLines.get(i++));
      } else {
        changes.add("+ " + newLines.get(j++));
      }
    }
    return changes;
  }

  /**
   * Returns, for each pair of line indexes, the length of the longest common subsequence of the
   * lines from these indexes on.
   */
  private static int[][] commonLengths(List<String> oldLines, List<String> newLines) {
    int[][] common = new int[oldLines.size() + 1][newLines.size() + 1];
    for (int i = oldLines.size() - 1; i >= 0; i--) {
      for (int j = newLines.size() - 1; j >= 0; j--) {
        common[i][j] =
            oldLines.get(i).equals(newLines.get(j))
                ? common[i + 1][j + 1] + 1
                : Math.max(common[i + 1][j], common[i][j + 1]);
      }
    }
    return common;
  }
}
