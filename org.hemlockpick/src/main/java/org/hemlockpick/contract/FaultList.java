package org.hemlockpick.contract;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.tomlj.TomlPosition;

/** Collects the faults of the text of one contract. */
final class FaultList {
  private final List<ContractFault> faults = new ArrayList<>();
  private final String file;

  private final List<String> lines;

  FaultList(String file, String text) {
    this.file = file;
    lines = text.lines().toList();
  }

  void add(TomlPosition position, String key, String message) {
    faults.add(new ContractFault(file, position.line(), position.column(), key, message));
  }

  /**
   * Adds a fault of an element of a list.
   *
   * @param position position that the TOML parser reports for the element: the end of what precedes
   *     it
   */
  void addElement(TomlPosition position, String key, String message) {
    add(skipBlanksAndComments(position), key, message);
  }

  /**
   * Returns the position of the next character that is neither white space nor part of a comment.
   */
  private TomlPosition skipBlanksAndComments(TomlPosition from) {
    int column = from.column();
    for (int line = from.line(); line <= lines.size(); line++) {
      String text = lines.get(line - 1);
      String rest = text.substring(Math.min(column - 1, text.length()));
      String blank = rest.substring(0, rest.length() - rest.stripLeading().length());
      if (!rest.isBlank() && rest.charAt(blank.length()) != '#') {
        return TomlPosition.positionAt(line, column + blank.length());
      }
      column = 1;
    }
    return from;
  }

  boolean isEmpty() {
    return faults.isEmpty();
  }

  /** Returns the faults in the order of the text. */
  Seq<ContractFault> inOrder() {
    return Vector.ofAll(faults)
        .sorted(Comparator.comparingInt(ContractFault::line).thenComparing(ContractFault::column));
  }
}
