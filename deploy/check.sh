#!/bin/sh
# Starts what was built, as the platform would: the real program takes its
# configuration, serves its health check and stops on SIGTERM; the adapter ends
# with its input; a faulty configuration is named by its key. The real program is
# linked dynamically against the C library: where the platform loads a library of
# its own into the process, a static one would go past it unseen.
set -eu
readelf -d bin/yardflow | grep -q 'NEEDED.*libc\.so' || { echo "bin/yardflow is not linked dynamically against the C library"; exit 1; }
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
printf '{"name":"n0","seed":"01","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":%s}' \
	"$(cat cmd/yardflow/testdata/settings.json)" > "$dir/config.json"
NODE_CONFIG="$dir/config.json" bin/yardflow check
bin/adapter < /dev/null
sed 's/"MaxAttempts": 4/"MaxAttempts": 0/' "$dir/config.json" > "$dir/bad.json"
if NODE_CONFIG="$dir/bad.json" bin/yardflow check 2> "$dir/err"; then
	echo "a faulty configuration was taken"; exit 1
fi
grep -q 'Limits.MaxAttempts' "$dir/err" || { echo "the faulty key is not named:"; cat "$dir/err"; exit 1; }
( cd deploy/example && mkdir "$dir/example" && cp config.json "$dir/example/" && mkdir "$dir/example/deploy" && cp yardflow.toml "$dir/example/deploy/" )
( bin=$PWD/bin; cd "$dir/example" && NODE_CONFIG=config.json "$bin/yardflow" check )
NODE_CONFIG=deploy/example/quiz-room.json bin/yardflow check
bin/yardflow import internal/gateway/haproxy/testdata/loans.cfg > "$dir/imported.json" 2> /dev/null
NODE_CONFIG="$dir/imported.json" bin/yardflow check
# The start itself has the second front on, as deploy/yardflow.toml would set it.
mkdir -p "$dir/deploy"
sed 's/^enabled = false/enabled = true/; s/:7171/:0/' deploy/yardflow.toml > "$dir/deploy/yardflow.toml"
bin=$PWD/bin
cd "$dir"
NODE_CONFIG="$dir/config.json" "$bin/yardflow" 2> "$dir/log" &
pid=$!
i=0
until grep -q 'serves on' "$dir/log"; do
	i=$((i + 1))
	if [ $i -gt 300 ] || ! kill -0 $pid 2> /dev/null; then echo "did not start:"; cat "$dir/log"; exit 1; fi
	sleep 0.1
done
grep -q 'serves event streams on' "$dir/log" || { echo "no second front:"; cat "$dir/log"; kill -TERM $pid; exit 1; }
# SIGHUP reads the file again and ends nothing.
kill -HUP $pid
i=0
until grep -q 'reload: discovery at' "$dir/log"; do
	i=$((i + 1))
	if [ $i -gt 300 ] || ! kill -0 $pid 2> /dev/null; then echo "did not reload:"; cat "$dir/log"; exit 1; fi
	sleep 0.1
done
kill -TERM $pid
wait $pid || { echo "did not stop in order:"; cat "$dir/log"; exit 1; }
echo "start checks passed"
