package org.hemlockpick.daemon;

import com.google.protobuf.ByteString;
import jakarta.json.Json;
import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.JsonValue;
import java.util.Base64;
import java.util.Optional;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.ContractView;
import org.hemlockpick.proto.EvacuationView;
import org.hemlockpick.proto.JobView;
import org.hemlockpick.proto.StatusView;
import org.hemlockpick.proto.WorkerView;

/** Converts the loop's answers to JSON objects. */
final class AnswerJson {
  private AnswerJson() {}

  static JsonObject of(CallerAnswer answer) {
    ResultCode code = ResultCode.of(answer.getCode());
    JsonObjectBuilder json = head(code, answer.getDetail());
    if (answer.getRetryAfterMillis() > 0) {
      json.add("retryAfterMillis", answer.getRetryAfterMillis());
    }
    if (answer.getRevision() > 0) {
      json.add("revision", answer.getRevision());
    }
    if (!answer.getBody().isEmpty()) {
      addBody(json, answer.getBody());
    }
    if (answer.hasJob()) {
      json.add("job", job(answer.getJob()));
    }
    if (answer.hasStatus()) {
      json.add("status", status(answer.getStatus()));
    }
    return json.build();
  }

  /** Converts the answer to a contract query; the list is present even if it is empty. */
  static JsonObject ofContracts(CallerAnswer answer) {
    JsonArrayBuilder contracts = Json.createArrayBuilder();
    answer.getContractsList().forEach(contract -> contracts.add(contract(contract)));
    return Json.createObjectBuilder(of(answer)).add("contracts", contracts).build();
  }

  static JsonObjectBuilder head(ResultCode code, String detail) {
    return Json.createObjectBuilder()
        .add("code", code.number())
        .add("result", code.name())
        .add("detail", detail.isEmpty() ? code.text() : detail);
  }

  private static void addBody(JsonObjectBuilder json, ByteString body) {
    Optional<JsonValue> value = parse(body);
    if (value.isPresent()) {
      json.add("body", value.get());
    } else if (body.isValidUtf8()) {
      json.add("bodyText", body.toStringUtf8());
    } else {
      json.add("bodyBase64", Base64.getEncoder().encodeToString(body.toByteArray()));
    }
  }

  private static Optional<JsonValue> parse(ByteString body) {
    return body.isValidUtf8() ? JsonText.parse(body.toStringUtf8()) : Optional.empty();
  }

  private static JsonObjectBuilder job(JobView job) {
    JsonArrayBuilder results = Json.createArrayBuilder();
    for (ByteString result : job.getResultsList()) {
      JsonObjectBuilder item = Json.createObjectBuilder();
      addBody(item, result);
      results.add(item);
    }
    return Json.createObjectBuilder()
        .add("job", job.getJob())
        .add("name", job.getName())
        .add("state", job.getState())
        .add("queued", job.getQueued())
        .add("assigned", job.getAssigned())
        .add("done", job.getDone())
        .add("parked", job.getParked())
        .add("cancelled", job.getCancelled())
        .add("deadlineAtMillis", job.getDeadlineAtMillis())
        .add("reason", job.getReason())
        .add("results", results);
  }

  private static JsonObjectBuilder contract(ContractView contract) {
    return Json.createObjectBuilder()
        .add("customer", contract.getCustomer())
        .add("revision", contract.getRevision())
        .add("operator", contract.getOperator())
        .add("text", contract.getText());
  }

  private static JsonObjectBuilder status(StatusView status) {
    JsonArrayBuilder peers = Json.createArrayBuilder();
    status.getLivePeersList().forEach(peers::add);
    JsonArrayBuilder workers = Json.createArrayBuilder();
    status.getWorkersList().forEach(worker -> workers.add(worker(worker)));
    JsonArrayBuilder evacuations = Json.createArrayBuilder();
    status.getEvacuationsList().forEach(each -> evacuations.add(evacuation(each)));
    return Json.createObjectBuilder()
        .add("instance", status.getInstance())
        .add("incarnation", status.getIncarnation())
        .add("zone", status.getZone())
        .add("ready", status.getReady())
        .add("notReadyReason", status.getNotReadyReason())
        .add("stopping", status.getStopping())
        .add("stopped", status.getStopped())
        .add("configVersion", status.getConfigVersion())
        .add("storeReachable", status.getStoreReachable())
        .add("requestsInFlight", status.getRequestsInFlight())
        .add("shardsHeld", status.getShardsHeld())
        .add("tasksRunning", status.getTasksRunning())
        .add("livePeers", peers)
        .add("evacuations", evacuations)
        .add("workers", workers);
  }

  private static JsonObjectBuilder evacuation(EvacuationView evacuation) {
    return Json.createObjectBuilder()
        .add("zone", evacuation.getZone())
        .add("operator", evacuation.getOperator())
        .add("sinceMillis", evacuation.getSinceMillis())
        .add("requests", evacuation.getRequests())
        .add("tasks", evacuation.getTasks());
  }

  private static JsonObjectBuilder worker(WorkerView worker) {
    return Json.createObjectBuilder()
        .add("worker", worker.getWorker())
        .add("epoch", worker.getEpoch())
        .add("slotsUsed", worker.getSlotsUsed())
        .add("slots", worker.getSlots())
        .add("tasks", worker.getTasks())
        .add("leaving", worker.getLeaving());
  }
}
