# Sourced by the run.sh of each case, which sets trouble: runs its driver with the program of the deploy file.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
number=$(basename "$here")
program="$root/target/bin/monsooncroft-platform"
driver="$root/target/review-3/case-$number"
if [ ! -x "$program" ] || [ ! -x "$driver" ]; then
  echo "run the build of deploy/system.toml and review/build-3.sh first"
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$root"
status=0
timeout -k 5 110 "$driver" "$program" "$here/record.txt" "$folder" "$trouble" || status=$?
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
