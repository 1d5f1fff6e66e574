package org.hemlockpick.daemon;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import jakarta.json.Json;
import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonValue;
import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.proto.Input;

/**
 * One line of a trace: a recorded tick with the empty ticks before it.
 *
 * <p>Of ticks without inputs and outputs only the times are recorded; they are replayed too, as the
 * passing of time may change the state of a loop.
 *
 * @param idleMillis times of the ticks before this one that had neither inputs nor outputs
 * @param atMillis time of this tick, in milliseconds on the loop's clock
 * @param inputs inputs of the tick
 * @param hash hash of all outputs of the loop up to this tick, in lower-case hex
 */
record TraceTick(List<Long> idleMillis, long atMillis, List<Input> inputs, String hash) {
  private static final JsonFormat.Printer PRINTER =
      JsonFormat.printer().omittingInsignificantWhitespace();

  JsonObject toJson() {
    JsonArrayBuilder idle = Json.createArrayBuilder();
    idleMillis.forEach(idle::add);
    JsonArrayBuilder taken = Json.createArrayBuilder();
    for (Input input : inputs) {
      taken.add(toJson(input.toBuilder().setAtMillis(atMillis).build()));
    }
    return Json.createObjectBuilder()
        .add("idle", idle)
        .add("at", atMillis)
        .add("inputs", taken)
        .add("hash", hash)
        .build();
  }

  static TraceTick of(JsonObject json) throws InvalidProtocolBufferException {
    List<Long> idle =
        json.getJsonArray("idle").getValuesAs(JsonNumber.class).stream()
            .map(JsonNumber::longValueExact)
            .toList();
    List<Input> inputs = new ArrayList<>();
    for (JsonValue input : json.getJsonArray("inputs")) {
      inputs.add(input(input));
    }
    long at = json.getJsonNumber("at").longValueExact();
    return new TraceTick(idle, at, inputs, json.getString("hash"));
  }

  private static JsonValue toJson(Input input) {
    try {
      return JsonText.parse(PRINTER.print(input)).orElseThrow();
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  private static Input input(JsonValue json) throws InvalidProtocolBufferException {
    Input.Builder input = Input.newBuilder();
    JsonFormat.parser().merge(json.toString(), input);
    return input.clearAtMillis().build();
  }
}
