package org.hemlockpick.daemon;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.ContractView;
import org.hemlockpick.proto.EvacuationView;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.JobView;
import org.hemlockpick.proto.Output;
import org.hemlockpick.proto.StatusView;
import org.hemlockpick.proto.Stopped;

/**
 * Answers every call immediately, a request with its own body.
 *
 * <p>Service {@code full} refuses requests, {@code silent} never answers, {@code broken} throws,
 * and {@code binary} and {@code text} answer with a body that is not JSON.
 */
final class FakeLoop implements Loop {
  static final int RETRY_AFTER_MILLIS = 1_200;

  final List<Input> received = new CopyOnWriteArrayList<>();
  private volatile boolean stopped;

  @Override
  public List<Output> tick(List<Input> inputs) {
    received.addAll(inputs);
    List<Output> outputs = new ArrayList<>();
    inputs.forEach(input -> answer(input, outputs));
    return outputs;
  }

  @Override
  public boolean isReady() {
    return !stopped;
  }

  @Override
  public boolean isStopped() {
    return stopped;
  }

  private void answer(Input input, List<Output> outputs) {
    CallerAnswer.Builder answer = CallerAnswer.newBuilder();
    switch (input.getBodyCase()) {
      case CALLER_REQUEST -> {
        var request = input.getCallerRequest();
        answer.setExchange(request.getExchange());
        switch (request.getService()) {
          case "silent" -> {
            return;
          }
          case "broken" -> throw new IllegalStateException("broken");
          case "full" -> {
            answer.setCode(ResultCode.OVERLOADED.number());
            answer.setRetryAfterMillis(RETRY_AFTER_MILLIS);
          }
          case "binary" -> answer.setBody(ByteString.copyFrom(new byte[] {-1, 0}));
          case "text" -> answer.setBody(ByteString.copyFromUtf8("not json"));
          default -> answer.setBody(request.getBody());
        }
      }
      case JOB_SUBMIT ->
          answer
              .setExchange(input.getJobSubmit().getExchange())
              .setJob(JobView.newBuilder().setJob("job-1"));
      case JOB_QUERY ->
          answer
              .setExchange(input.getJobQuery().getExchange())
              .setCode(ResultCode.UNKNOWN_JOB.number());
      case CONTRACT_QUERY ->
          answer
              .setExchange(input.getContractQuery().getExchange())
              .addContracts(ContractView.newBuilder().setCustomer("lantern").setRevision(7));
      case CONTRACT_APPLY ->
          answer.setExchange(input.getContractApply().getExchange()).setRevision(8);
      case EVACUATION_CHANGE -> answer.setExchange(input.getEvacuationChange().getExchange());
      case STATUS_QUERY ->
          answer.setExchange(input.getStatusQuery().getExchange()).setStatus(status());
      case STOP_ORDER -> {
        stopped = true;
        outputs.add(Output.newBuilder().setStopped(Stopped.getDefaultInstance()).build());
        return;
      }
      default -> {
        return;
      }
    }
    outputs.add(Output.newBuilder().setCallerAnswer(answer).build());
  }

  private StatusView.Builder status() {
    EvacuationView.Builder evacuation =
        EvacuationView.newBuilder()
            .setZone("kgn-b")
            .setOperator("kei")
            .setSinceMillis(5)
            .setRequests(3)
            .setTasks(2);
    return StatusView.newBuilder()
        .setReady(!stopped)
        .setStopping(stopped)
        .addEvacuations(evacuation);
  }
}
