package org.hemlockpick.capacity;

/** Generates names and contracts of typical length at the design size. */
final class Names {
  static final String ZONE = "region3-az2";
  static final String KEY_DIGEST = "0123456789abcdef".repeat(4);
  static final String SERVICE = "litepay";

  private Names() {}

  static String entry(int number) {
    return ZONE + "-entry" + number;
  }

  static String remoteZone(int zone) {
    return "region" + zone / 4 + "-az" + (4 + zone % 4);
  }

  static String worker(int number) {
    return String.format("%s-worker%04d", ZONE, number);
  }

  static String address(int number) {
    return "10.23." + number / 200 + "." + number % 200 + ":7031";
  }

  static String customer(int number) {
    return String.format("customer%04d", number);
  }

  static String contract(int number) {
    return """
        customer = "%s"
        weight = 2

        [keys]
        sha256 = ["%s"]

        [requests]
        in-flight = 500000
        per-second = 500000

        [services.litepay]
        timeout = "5 min"
        target = "200 ms"
        max-body = "64 KiB"

        [services.pleatdesk]
        timeout = "5 s"
        target = "300 ms"
        max-body = "256 KiB"

        [batch]
        tasks = 100000
        job-tasks = 20000
        deadline = "10 h"
        urgent = true
        """
        .formatted(customer(number), KEY_DIGEST);
  }
}
