package org.hemlockpick.internal.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.hemlockpick.internal.contract.ContractTable;
import org.hemlockpick.internal.evacuation.EvacuationTable;
import org.hemlockpick.internal.loop.BlobCalls;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.loop.WorkerCalls;
import org.hemlockpick.internal.membership.MembershipSystem;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.internal.ownership.OwnershipSystem;
import org.hemlockpick.internal.ownership.WorkerTable;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.proto.Heartbeat;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.Output;

/** Runs the batch module of one entry instance with the systems that it depends on. */
final class FakeInstance {
  final String name;
  final FakeQuota quota = new FakeQuota(10_000);
  final BatchModule batch;
  final OwnershipSystem ownership;
  final WorkerTable workers;
  final List<Input> inputs = new ArrayList<>();

  /** Whether the process is suspended. */
  boolean paused;

  private final Outbox outbox;
  private final StoreCalls store;
  private final BlobCalls blobs;
  private final WorkerCalls calls;
  private final MembershipSystem membership;
  private boolean leaving;

  FakeInstance(InstanceSettings settings, long incarnation, ContractTable contracts, long now) {
    name = settings.name();
    outbox = new Outbox(settings, incarnation);
    outbox.beginTick(now);
    store = new StoreCalls(outbox, settings.timing());
    blobs = new BlobCalls(outbox, settings.timing());
    calls = new WorkerCalls(outbox);
    PeerTable peers = new PeerTable(settings);
    workers = new WorkerTable(settings);
    membership = new MembershipSystem(settings, outbox, peers, this::heartbeat);
    ownership = new OwnershipSystem(settings, outbox, calls, peers, workers);
    batch =
        new BatchModule(
            settings,
            outbox,
            store,
            blobs,
            calls,
            peers,
            workers,
            ownership,
            contracts,
            new EvacuationTable(outbox),
            quota,
            new Random(1));
  }

  /** Hands its workers over and accepts no new ones. */
  void leave() {
    leaving = true;
    ownership.stop();
  }

  List<Output> tick(long now, boolean mayOwn) {
    outbox.beginTick(now);
    List<Input> received = new ArrayList<>(inputs);
    inputs.clear();
    received.forEach(input -> handle(input, now));
    store.run(now);
    blobs.run(now);
    calls.run(now);
    membership.run(now);
    if (mayOwn) {
      ownership.run(now);
    }
    batch.run(now);
    return outbox.drain();
  }

  private void handle(Input input, long now) {
    switch (input.getBodyCase()) {
      case JOB_SUBMIT -> batch.on(input.getJobSubmit());
      case JOB_QUERY -> batch.on(input.getJobQuery());
      case JOB_CANCEL -> batch.on(input.getJobCancel());
      case PEER_MESSAGE -> {
        if (membership.on(input.getPeerMessage())) {
          batch.on(input.getPeerMessage());
        }
      }
      case WORKER_REPLY -> calls.on(input.getWorkerReply());
      case STORE_REPLY -> store.on(input.getStoreReply());
      case BLOB_REPLY -> blobs.on(input.getBlobReply());
      case INSTANCE_LIST -> workers.update(input.getInstanceList(), now);
      default -> throw new IllegalArgumentException("unexpected input " + input.getBodyCase());
    }
  }

  private Heartbeat heartbeat(boolean withinZone) {
    Heartbeat.Builder heartbeat =
        Heartbeat.newBuilder()
            .setReady(true)
            .setLeaving(leaving)
            .setFreeBatchCpuMillis(batch.freeCpuMillis(outbox.now()));
    if (withinZone) {
      heartbeat.addAllWorkers(ownership.ownedWorkers(outbox.now()));
    }
    return heartbeat.build();
  }
}
