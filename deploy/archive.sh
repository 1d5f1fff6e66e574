#!/bin/sh
# Records the classes that an entry instance loads into an archive, from which a later process
# loads them in about half the time. The archive is optional: a process also starts without it.
set -eu
archive=target/hemlockpick.jsa
log=target/training.log
rm -f "$archive"
java -Xmx160m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
  -Djava.util.logging.manager=org.jboss.logmanager.LogManager \
  -XX:ArchiveClassesAtExit="$archive" \
  -jar target/hemlockpick-deployed.jar serve --settings deploy/training.toml >"$log" 2>&1 &
process=$!
waited=0
until grep -q started "$log" || [ "$waited" -ge 60 ]; do
  sleep 1
  waited=$((waited + 1))
done
sleep 2
kill -TERM "$process" || true
wait "$process" || true
[ -s "$archive" ] || echo "no archive of classes was made, see $log" >&2
