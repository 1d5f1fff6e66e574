package org.hemlockpick.world;

/** Holds the contract texts that the scenarios and the fuzz tests apply. */
final class Contracts {
  private Contracts() {}

  static String lanternhall(int variant) {
    return """
        customer = "lanternhall"
        weight = 2

        [keys]
        sha256 = ["%s"]

        [requests]
        in-flight = %d
        per-second = 2000

        [services.litepay]
        timeout = "2 s"
        target = "200 ms"
        max-body = "64 KiB"
        """
        .formatted(Callers.KEY_DIGEST, 100 + variant % 50);
  }

  static String orikiri() {
    return """
        customer = "orikiri"
        weight = 1

        [keys]
        sha256 = ["%s"]

        [requests]
        in-flight = 20
        per-second = 100

        [services.pleatdesk]
        timeout = "2 s"
        target = "200 ms"
        max-body = "64 KiB"

        [batch]
        tasks = 40
        job-tasks = 5000
        deadline = "1 h"
        urgent = true
        """
        .formatted(Callers.KEY_DIGEST);
  }
}
