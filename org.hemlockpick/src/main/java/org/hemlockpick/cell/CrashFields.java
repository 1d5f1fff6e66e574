package org.hemlockpick.cell;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;
import com.google.protobuf.UnknownFieldSet.Field;
import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.cell.TaskCrashes.Crash;
import org.hemlockpick.proto.ProgressRecord;
import org.hemlockpick.proto.StepProgress;
import org.hemlockpick.proto.TaskNote;

/**
 * Converts the crashes of a task to and from fields of its stored {@link TaskNote}. Its schema does
 * not name these fields yet; the bytes are those of a repeated message of that number.
 */
final class CrashFields {
  /** Number of the repeated message within the note. */
  private static final int CRASHES = 8;

  private static final int ATTEMPT = 1;
  private static final int WORKER = 2;
  private static final int AGE_MILLIS = 3;
  private static final int TELLING = 4;

  private CrashFields() {}

  static UnknownFieldSet encode(TaskCrashes crashes) {
    if (crashes.isEmpty()) {
      return UnknownFieldSet.getDefaultInstance();
    }
    Field.Builder field = Field.newBuilder();
    for (Crash crash : crashes.all()) {
      field.addLengthDelimited(encode(crash).toByteString());
    }
    return UnknownFieldSet.newBuilder().addField(CRASHES, field.build()).build();
  }

  private static UnknownFieldSet encode(Crash crash) {
    ByteString worker = ByteString.copyFromUtf8(crash.worker());
    return UnknownFieldSet.newBuilder()
        .addField(ATTEMPT, Field.newBuilder().addVarint(crash.attempt()).build())
        .addField(WORKER, Field.newBuilder().addLengthDelimited(worker).build())
        .addField(AGE_MILLIS, Field.newBuilder().addVarint(crash.ageMillis()).build())
        .addField(TELLING, Field.newBuilder().addVarint(crash.telling() ? 1 : 0).build())
        .build();
  }

  /** Checks that the crashes of all tasks can be read. */
  static void check(ProgressRecord record) throws InvalidProtocolBufferException {
    for (StepProgress step : record.getStepsList()) {
      for (TaskNote note : step.getNotesList()) {
        parse(note);
      }
    }
  }

  /** Returns the crashes of a note that was checked. */
  static List<Crash> decode(TaskNote note) {
    try {
      return parse(note);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("not checked", e);
    }
  }

  private static List<Crash> parse(TaskNote note) throws InvalidProtocolBufferException {
    List<Crash> crashes = new ArrayList<>();
    UnknownFieldSet fields = note.getUnknownFields();
    if (fields.hasField(CRASHES)) {
      for (ByteString crash : fields.getField(CRASHES).getLengthDelimitedList()) {
        crashes.add(decode(UnknownFieldSet.parseFrom(crash)));
      }
    }
    return crashes;
  }

  private static Crash decode(UnknownFieldSet fields) {
    List<ByteString> worker = fields.getField(WORKER).getLengthDelimitedList();
    return new Crash(
        (int) number(fields, ATTEMPT),
        worker.isEmpty() ? "" : worker.get(0).toStringUtf8(),
        number(fields, AGE_MILLIS),
        number(fields, TELLING) != 0);
  }

  private static long number(UnknownFieldSet fields, int field) {
    List<Long> values = fields.getField(field).getVarintList();
    return values.isEmpty() ? 0 : values.get(0);
  }
}
