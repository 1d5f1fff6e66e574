package org.hemlockpick.pgm;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.hemlockpick.daemon.EntryDaemon;
import org.hemlockpick.daemon.Settings;
import org.hemlockpick.daemon.admission.AdmissionSettings;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.lib.RosterMember;
import org.hemlockpick.lib.Timing;
import org.hemlockpick.proto.Event;
import org.hemlockpick.standin.StandInSettings;
import org.hemlockpick.standin.StandIns;

/** Runs three entry instances of one availability zone and the stand-ins, all on free ports. */
final class DemoZone implements AutoCloseable {
  static final String OPERATOR_KEY = "demo-operator";

  private static final String ZONE = "zone-a";
  private static final int WORKERS = 3;
  private static final List<RosterMember> ROSTER =
      List.of(
          new RosterMember("entry-a-1", ZONE),
          new RosterMember("entry-a-2", ZONE),
          new RosterMember("entry-a-3", ZONE));

  private final StandIns standIns = new StandIns(StandInSettings.all(List.of(ZONE), WORKERS));
  private final List<EntryDaemon> daemons = new ArrayList<>();
  private final ConcurrentLinkedQueue<Event> events = new ConcurrentLinkedQueue<>();

  /**
   * Starts the stand-ins and the entry instances.
   *
   * @throws IOException if it cannot listen on a port
   */
  DemoZone() throws IOException {
    try {
      startDaemons();
    } catch (IOException | RuntimeException e) {
      close();
      throw e;
    }
  }

  int size() {
    return daemons.size();
  }

  boolean isReady() {
    return daemons.stream().allMatch(EntryDaemon::isReady);
  }

  /** Creates a client of one entry instance. */
  ApiClient client(int index, String key) throws IOException {
    return new ApiClient(URI.create("http://127.0.0.1:" + daemons.get(index).callersPort()), key);
  }

  /** Returns the timeline entries so far, in causal order. */
  List<TimelineEntry> timeline() {
    return events.stream().map(TimelineEntry::new).sorted().toList();
  }

  @Override
  public void close() {
    daemons.forEach(EntryDaemon::close);
    standIns.close();
  }

  private void startDaemons() throws IOException {
    Map<String, InetSocketAddress> addresses = new HashMap<>();
    for (RosterMember member : ROSTER) {
      EntryDaemon daemon = EntryDaemon.start(settings(member), events::add);
      daemons.add(daemon);
      addresses.put(member.name(), loopback(daemon.peersPort()));
    }
    daemons.forEach(daemon -> daemon.setPeers(addresses));
  }

  private Settings settings(RosterMember member) {
    Settings.Platform platform =
        new Settings.Platform(
            url(standIns.tableAddress()),
            url(standIns.objectsAddress()),
            url(standIns.listAddress()));
    return new Settings(
        new InstanceSettings(member.name(), member.zone(), ROSTER, Timing.defaults()),
        loopback(0),
        loopback(0),
        Map.of(),
        platform,
        List.of(Digests.sha256(OPERATOR_KEY)),
        null,
        new Settings.Timeline(Settings.Timeline.Level.OFF, null),
        AdmissionSettings.DEFAULT);
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private static URI url(String address) {
    return URI.create("http://" + address);
  }
}
