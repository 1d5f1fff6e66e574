package org.hemlockpick.daemon;

import jakarta.json.Json;
import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import java.time.Duration;
import java.util.List;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.lib.RosterMember;
import org.hemlockpick.lib.Timing;

/**
 * The first line of a trace: the parameters that the recorded loop was created with.
 *
 * @param settings settings of the entry instance
 * @param incarnation number of the start
 * @param seed seed of the random numbers
 * @param startedAtMillis time on the loop's clock when the loop was created, in milliseconds
 */
record TraceHeader(InstanceSettings settings, long incarnation, long seed, long startedAtMillis) {
  private static final int FORMAT = 1;

  JsonObject toJson() {
    JsonArrayBuilder roster = Json.createArrayBuilder();
    for (RosterMember member : settings.roster()) {
      roster.add(Json.createObjectBuilder().add("name", member.name()).add("zone", member.zone()));
    }
    return Json.createObjectBuilder()
        .add("format", FORMAT)
        .add("name", settings.name())
        .add("zone", settings.zone())
        .add("roster", roster)
        .add("timing", toJson(settings.timing()))
        .add("incarnation", incarnation)
        .add("seed", seed)
        .add("startedAtMillis", startedAtMillis)
        .build();
  }

  static TraceHeader of(JsonObject json) {
    if (json.getInt("format") != FORMAT) {
      throw new IllegalArgumentException("unknown format " + json.getInt("format"));
    }
    List<RosterMember> roster =
        json.getJsonArray("roster").getValuesAs(JsonObject.class).stream()
            .map(member -> new RosterMember(member.getString("name"), member.getString("zone")))
            .toList();
    InstanceSettings settings =
        new InstanceSettings(
            json.getString("name"),
            json.getString("zone"),
            roster,
            timing(json.getJsonObject("timing")));
    return new TraceHeader(
        settings,
        longOf(json, "incarnation"),
        longOf(json, "seed"),
        longOf(json, "startedAtMillis"));
  }

  private static JsonObjectBuilder toJson(Timing timing) {
    return Json.createObjectBuilder()
        .add("heartbeatMillis", timing.heartbeat().toMillis())
        .add("peerTimeoutMillis", timing.peerTimeout().toMillis())
        .add("leaseTtlMillis", timing.leaseTtl().toMillis())
        .add("leaseRenewalMillis", timing.leaseRenewal().toMillis())
        .add("workerTimeoutMillis", timing.workerTimeout().toMillis())
        .add("storeTimeoutMillis", timing.storeTimeout().toMillis())
        .add("configPollMillis", timing.configPoll().toMillis())
        .add("journalIntervalMillis", timing.journalInterval().toMillis())
        .add("startWaitMillis", timing.startWait().toMillis())
        .add("maxClockDrift", timing.maxClockDrift());
  }

  private static Timing timing(JsonObject json) {
    return new Timing(
        millis(json, "heartbeatMillis"),
        millis(json, "peerTimeoutMillis"),
        millis(json, "leaseTtlMillis"),
        millis(json, "leaseRenewalMillis"),
        millis(json, "workerTimeoutMillis"),
        millis(json, "storeTimeoutMillis"),
        millis(json, "configPollMillis"),
        millis(json, "journalIntervalMillis"),
        millis(json, "startWaitMillis"),
        json.getJsonNumber("maxClockDrift").doubleValue());
  }

  private static Duration millis(JsonObject json, String name) {
    return Duration.ofMillis(longOf(json, name));
  }

  private static long longOf(JsonObject json, String name) {
    return json.getJsonNumber(name).longValueExact();
  }
}
