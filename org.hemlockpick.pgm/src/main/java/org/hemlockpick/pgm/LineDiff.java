package org.hemlockpick.pgm;

import java.util.ArrayList;
import java.util.List;

/** Compares two texts line by line. */
final class LineDiff {
  private LineDiff() {}

  /** Returns the lines that differ, marked with - for the old text and + for the new one. */
  static List<String> of(String before, String after) {
    List<String> old = before.lines().toList();
    List<String> now = after.lines().toList();
    int[][] common = commonLengths(old, now);
    List<String> changes = new ArrayList<>();
    int i = 0;
    int j = 0;
    while (i < old.size() || j < now.size()) {
      boolean bothLeft = i < old.size() && j < now.size();
      if (bothLeft && old.get(i).equals(now.get(j))) {
        i++;
        j++;
      } else if (j == now.size() || (bothLeft && common[i + 1][j] >= common[i][j + 1])) {
        changes.add("- " + old.get(i++));
      } else {
        changes.add("+ " + now.get(j++));
      }
    }
    return changes;
  }

  /** Returns the length of the longest common subsequence of the rests from each pair of lines. */
  private static int[][] commonLengths(List<String> old, List<String> now) {
    int[][] common = new int[old.size() + 1][now.size() + 1];
    for (int i = old.size() - 1; i >= 0; i--) {
      for (int j = now.size() - 1; j >= 0; j--) {
        common[i][j] =
            old.get(i).equals(now.get(j))
                ? common[i + 1][j + 1] + 1
                : Math.max(common[i + 1][j], common[i][j + 1]);
      }
    }
    return common;
  }
}
