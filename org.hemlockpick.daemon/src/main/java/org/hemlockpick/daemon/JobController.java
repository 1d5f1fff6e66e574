package org.hemlockpick.daemon;

import com.google.protobuf.ByteString;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import jakarta.json.JsonValue;
import java.util.Base64;
import java.util.concurrent.CompletableFuture;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.JobCancel;
import org.hemlockpick.proto.JobQuery;
import org.hemlockpick.proto.JobSpec;
import org.hemlockpick.proto.JobSubmit;
import org.jspecify.annotations.Nullable;

/** Serves the batch jobs of customers: submission, query and cancellation. */
@Controller("/v1/customers/{customer}/jobs")
@Requires(beans = PendingExchanges.class)
final class JobController {
  private final CallDispatcher dispatcher;
  private final ApiKeys keys;

  JobController(CallDispatcher dispatcher, ApiKeys keys) {
    this.dispatcher = dispatcher;
    this.keys = keys;
  }

  @Post
  @Consumes(MediaType.ALL)
  CompletableFuture<HttpResponse<String>> submit(
      HttpRequest<?> http, String customer, @Body byte @Nullable [] body) {
    try {
      JobSubmit submit = read(http, customer, body);
      return dispatcher.dispatch(http, number -> input(submit, number));
    } catch (BadInputException e) {
      return Replies.refused(e);
    }
  }

  @Get("/{job}")
  CompletableFuture<HttpResponse<String>> query(HttpRequest<?> http, String customer, String job) {
    try {
      JobQuery.Builder query =
          JobQuery.newBuilder().setCustomer(customer).setKeyDigest(keys.digest(http)).setJob(job);
      return dispatcher.dispatch(
          http, number -> Input.newBuilder().setJobQuery(query.setExchange(number)).build());
    } catch (BadInputException e) {
      return Replies.refused(e);
    }
  }

  @Delete("/{job}")
  CompletableFuture<HttpResponse<String>> cancel(HttpRequest<?> http, String customer, String job) {
    try {
      JobCancel.Builder cancel =
          JobCancel.newBuilder().setCustomer(customer).setKeyDigest(keys.digest(http)).setJob(job);
      return dispatcher.dispatch(
          http, number -> Input.newBuilder().setJobCancel(cancel.setExchange(number)).build());
    } catch (BadInputException e) {
      return Replies.refused(e);
    }
  }

  private JobSubmit read(HttpRequest<?> http, String customer, byte @Nullable [] body) {
    JsonFields fields = JsonFields.parse(body);
    JobSubmit submit =
        JobSubmit.newBuilder()
            .setCustomer(customer)
            .setKeyDigest(keys.digest(http))
            .setSubmissionKey(fields.requiredText("submissionKey"))
            .setSpec(readSpec(fields))
            .build();
    fields.rejectUnknownFields();
    return submit;
  }

  private static JobSpec readSpec(JsonFields fields) {
    return JobSpec.newBuilder()
        .setName(fields.text("name"))
        .setTaskCount(readInt(fields, "taskCount"))
        .setKind(fields.requiredText("kind"))
        .setCpuMillis(readInt(fields, "cpuMillis"))
        .setMemoryMb(readInt(fields, "memoryMb"))
        .setAccelerators(readInt(fields, "accelerators"))
        .setDeclaredRunMillis(readInt(fields, "declaredRunMillis"))
        .setDeadlineInMillis(fields.number("deadlineInMillis", 0, Long.MAX_VALUE / 2))
        .setUrgent(fields.flag("urgent"))
        .setPayload(readPayload(fields))
        .build();
  }

  private static int readInt(JsonFields fields, String name) {
    return (int) fields.number(name, 0, Integer.MAX_VALUE);
  }

  private static ByteString readPayload(JsonFields fields) {
    JsonValue json = fields.value("payload");
    String base64 = fields.text("payloadBase64");
    if (json != null && !base64.isEmpty()) {
      throw new BadInputException(Messages.TWO_PAYLOADS);
    }
    if (json != null) {
      return ByteString.copyFromUtf8(json.toString());
    }
    try {
      return ByteString.copyFrom(Base64.getDecoder().decode(base64));
    } catch (IllegalArgumentException e) {
      throw JsonFields.invalidField("payloadBase64", Messages.BAD_BASE64);
    }
  }

  private static Input input(JobSubmit submit, long number) {
    return Input.newBuilder().setJobSubmit(submit.toBuilder().setExchange(number)).build();
  }
}
