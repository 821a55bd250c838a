/**
 * @file driver.cpp
 * Case 12: cheap reads of the registrations in pages of different ages.
 */
#include "../lib3/harness.h"

using namespace harness;

namespace {

/** Items in a page of the store, as "page" in the site file. */
constexpr std::size_t kPageItems = 50;
/** drain_ms of the site file. */
constexpr long kDrainMs = 3'000;
/** stability_window_ms of the site file, and a margin. */
constexpr long kCalmMs = 6'000;
/** Age of the later pages of cheap reads: "seconds"; the site file's stale
 * reads are up to 6 s behind. */
constexpr long kPageAgeMs = 5'000;
constexpr long kWatchedMs = 9'000;
/** Enough for both leaves of the service to get requests. */
constexpr int kClientsPerInstance = 4;
constexpr long kWorkMs = 20;

struct arrival
{
  std::string mLeaf;
  std::string mRequest;
  long mAt;
};

} // namespace

int
main(int argc, char** argv)
{
  if (argc != 5) {
    return 2;
  }
  const std::string program = argv[1];
  record log(argv[2]);
  const std::string folder = argv[3];
  const bool trouble = std::atoi(argv[4]) != 0;

  store platform("127.0.0.1", kPageItems);
  std::mutex mutex;
  std::vector<arrival> arrivals;
  std::map<std::string, std::pair<std::string, long>>
    sent; // Instance and time of each request.
  std::vector<std::unique_ptr<server>> leaves;
  const long born = UnixMs();
  const auto addLeaf = [&](const std::string& aId,
                           const std::string& aService,
                           const std::string& aZone) {
    leaves.push_back(std::make_unique<server>(
      address{ "127.0.0.1", 0 }, [&, aId](connection& aConnection) {
        message request;
        int count = 0;
        while (aConnection.Read(request, 600'000) == read_end::Message) {
          const std::string id = request.Field("x-monsooncroft-request-id");
          if (request.Field("x-monsooncroft-expect-instance") != aId) {
            WriteAll(aConnection.Fd(),
                     "HTTP/1.1 421 Misdirected "
                     "Request\r\nX-Monsooncroft-Instance-Id: " +
                       aId + "\r\nContent-Length: 0\r\n\r\n");
            continue;
          }
          {
            const std::lock_guard lock(mutex);
            arrivals.push_back({ aId, id, NowMs() });
          }
          log.Line("leaf " + aId + " runs " + id);
          SleepMs(kWorkMs);
          WriteAll(aConnection.Fd(),
                   "HTTP/1.1 200 OK\r\nX-Monsooncroft-Request-Id: " + id +
                     "\r\nX-Monsooncroft-Server-Stamp: " + aId + "." +
                     std::to_string(++count) +
                     "\r\nContent-Length: 5\r\n\r\nhello");
        }
      }));
    platform.Put(
      "servers/" + aId,
      Registration(aService, leaves.back()->At(), aZone, "ready", born));
  };
  // The first page holds the leaves of other services; the second page those of
  // the route's service.
  for (int index = 0; index < 50; ++index) {
    char id[16];
    std::snprintf(id, sizeof(id), "i-%04d", index);
    addLeaf(id,
            "shard-" + std::to_string(index / 2),
            index % 2 == 0 ? "tanta" : "mahalla");
  }
  addLeaf("i-9001", "book", "tanta");
  addLeaf("i-9002", "book", "mahalla");
  platform.Put("op/config",
               json{ { "version", 7 },
                     { "routes",
                       json::array({ json{ { "name", "r-book" },
                                           { "host", "pupu76.example" },
                                           { "prefix", "/book/" },
                                           { "kind", "safe" },
                                           { "timeout_ms", 4000 },
                                           { "target_latency_ms", 250 },
                                           { "priority", 2 },
                                           { "service", "book" },
                                           { "max_attempts", 2 } } }) },
                     { "services",
                       json::array({ json{ { "name", "book" },
                                           { "health_path", "/health" },
                                           { "max_connections", 110 } } }) } }
                 .dump());

  auto fleet =
    MakeInstances({ "tanta", "mahalla", "kafr-zayat" }, platform.At(), folder);
  const auto stop = [&] {
    for (instance& each : fleet) {
      each.Signal(SIGTERM);
    }
    for (instance& each : fleet) {
      if (!each.Wait(7'000)) {
        each.Kill();
      }
    }
  };
  for (instance& each : fleet) {
    each.Start(program);
  }
  for (instance& each : fleet) {
    if (!each.AwaitReady(15'000)) {
      log.Say("an instance did not become ready");
      stop();
      std::_Exit(2);
    }
  }

  std::atomic<bool> done{ false };
  std::atomic<int> next{ 0 };
  std::atomic<int> served{ 0 };
  std::atomic<int> unserved{ 0 };
  std::vector<std::thread> clients;
  for (int index = 0;
       index < kClientsPerInstance * static_cast<int>(fleet.size());
       ++index) {
    clients.emplace_back(
      [&, &each = fleet[static_cast<std::size_t>(index) % fleet.size()]] {
        std::unique_ptr<connection> link;
        while (!done) {
          if (!link) {
            link = Connect(each.Front());
          }
          const std::string id = "q" + std::to_string(++next);
          {
            const std::lock_guard lock(mutex);
            sent[id] = { each.mName, NowMs() };
          }
          log.Line("client sends " + id + " to " + each.mName);
          message answer;
          if (!link ||
              !WriteAll(link->Fd(),
                        "GET /book/2f HTTP/1.1\r\nHost: "
                        "pupu76.example\r\nX-Monsooncroft-Request-Id: " +
                          id +
                          "\r\nX-Monsooncroft-Deadline-Ms: 4000\r\n\r\n") ||
              link->Read(answer, 5'000) != read_end::Message) {
            log.Line("no answer to " + id);
            ++unserved;
            link.reset();
          } else {
            log.Line("answer to " + id + ": " +
                     std::to_string(answer.Status()) + " " +
                     answer.Field("x-monsooncroft-server-stamp"));
            ++(answer.Status() == 200 ? served : unserved);
          }
          SleepMs(20);
        }
      });
  }

  SleepMs(kCalmMs);
  if (trouble) {
    platform.SetReadAge(
      [](const std::string& aPrefix, const std::string& aAfter) {
        return aPrefix == "servers/" && !aAfter.empty() ? kPageAgeMs : 0L;
      });
    log.Say("later pages of cheap reads are now 5 s old");
  }
  platform.Remove("servers/i-9002");
  const long removedAt = NowMs();
  log.Say("the store has acknowledged that i-9002 is gone");
  SleepMs(kWatchedMs);
  done = true;
  for (std::thread& each : clients) {
    each.join();
  }
  stop();

  int late = 0;
  long last = 0;
  for (const arrival& each : arrivals) {
    if (each.mLeaf != "i-9002" || each.mAt <= removedAt + kDrainMs) {
      continue;
    }
    const auto& [machine, sentAt] = sent[each.mRequest];
    ++late;
    last = std::max(last, each.mAt - removedAt);
    log.Line("LATE: " + each.mRequest + ", sent to " + machine + " " +
             std::to_string(sentAt - removedAt) +
             " ms after the acknowledgement, reached i-9002 after " +
             std::to_string(each.mAt - removedAt) + " ms");
  }
  log.Say("served " + std::to_string(served) + ", unserved " +
          std::to_string(unserved) +
          ", requests that reached i-9002 later than drain_ms: " +
          std::to_string(late) +
          (late > 0 ? ", the last after " + std::to_string(last) + " ms" : ""));
  log.Say(late > 0 ? "DRAIN is broken" : "DRAIN holds");
  std::_Exit(late > 0 ? 1 : 0);
}
