/**
 * @file driver.cpp
 * Case 13: a leaf leaves while the instances that read the registrations have
 * no power.
 */
#include "../lib3/harness.h"

using namespace harness;

namespace {

/** drain_ms of the site file. */
constexpr long kDrainMs = 3'000;
/** Until the watches of the registrations that several instances begin at their
 * start have ended, after 25 s. */
constexpr long kCalmMs = 30'000;
/** herd_kill with power in the site file: a share of 0.55 of the machines, for
 * 2.0 s. */
constexpr long kDownMs = 2'000;
constexpr long kWatchedMs = 9'000;
constexpr int kClientsPerInstance = 4;
constexpr long kWorkMs = 20;

struct arrival
{
  std::string mLeaf;
  std::string mRequest;
  long mAt;
};

/** Five of the nine machines. Those that read the registrations first, in the
 * order of their rank, and one more. */
bool
LosesPower(const std::string& aName)
{
  return aName == "front-kafr-zayat-1" || aName == "front-mahalla-3" ||
         aName == "front-mahalla-2" || aName == "front-tanta-2" ||
         aName == "front-tanta-1";
}

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

  store platform("127.0.0.1");
  std::mutex mutex;
  std::vector<arrival> arrivals;
  /** Instance and time of each request. */
  std::map<std::string, std::pair<std::string, long>> sent;
  std::vector<std::unique_ptr<server>> leaves;
  const long born = UnixMs();
  const std::vector<std::string> zones{ "tanta", "mahalla", "kafr-zayat" };
  for (int index = 0; index < 3; ++index) {
    const std::string leafId = "i-900" + std::to_string(index + 1);
    leaves.push_back(std::make_unique<server>(
      address{ "127.0.0.1", 0 }, [&, leafId](connection& aConnection) {
        message request;
        int count = 0;
        while (aConnection.Read(request, 600'000) == read_end::Message) {
          const std::string id = request.Field("x-monsooncroft-request-id");
          {
            const std::lock_guard lock(mutex);
            arrivals.push_back({ leafId, id, NowMs() });
          }
          log.Line("leaf " + leafId + " runs " + id);
          SleepMs(kWorkMs);
          WriteAll(aConnection.Fd(),
                   "HTTP/1.1 200 OK\r\nX-Monsooncroft-Request-Id: " + id +
                     "\r\nX-Monsooncroft-Server-Stamp: " + leafId + "." +
                     std::to_string(++count) +
                     "\r\nContent-Length: 5\r\n\r\nhello");
        }
      }));
    platform.Put("servers/" + leafId,
                 Registration("book",
                              leaves.back()->At(),
                              zones[static_cast<std::size_t>(index)],
                              "ready",
                              born));
  }
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

  auto fleet = MakeInstances({ "tanta",
                               "tanta",
                               "tanta",
                               "mahalla",
                               "mahalla",
                               "mahalla",
                               "kafr-zayat",
                               "kafr-zayat",
                               "kafr-zayat" },
                             platform.At(),
                             folder);
  for (instance& each : fleet) {
    // One machine of each zone, as in the example of the pages.
    each.mSeedIps = { fleet[0].mIp, fleet[3].mIp, fleet[6].mIp };
  }
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
                        "GET /book/2f HTTP/1.1\r\nHost: pupu76.example\r\n"
                        "X-Monsooncroft-Request-Id: " +
                          id +
                          "\r\nX-Monsooncroft-Deadline-Ms: 4000\r\n\r\n") ||
              link->Read(answer, 5'000) != read_end::Message) {
            log.Line("no answer to " + id);
            ++unserved;
            link.reset();
            SleepMs(100);
          } else {
            log.Line("answer to " + id + ": " +
                     std::to_string(answer.Status()) + " " +
                     answer.Field("x-monsooncroft-server-stamp"));
            ++(answer.Status() == 200 ? served : unserved);
            if (answer.Field("connection") == "close") {
              link.reset();
            }
          }
          SleepMs(40);
        }
      });
  }

  SleepMs(kCalmMs);
  if (trouble) {
    for (instance& each : fleet) {
      if (LosesPower(each.mName)) {
        each.Kill();
        log.Say(each.mName + " has no power");
      }
    }
  }
  const long lostAt = NowMs();
  platform.Remove("servers/i-9002");
  const long removedAt = NowMs();
  log.Say("the store has acknowledged that i-9002 is gone");
  if (trouble) {
    SleepMs(lostAt + kDownMs - NowMs());
    for (instance& each : fleet) {
      if (LosesPower(each.mName)) {
        each.Start(program);
      }
    }
    log.Say("the power is back");
  }
  SleepMs(removedAt + kWatchedMs - NowMs());
  done = true;
  for (std::thread& each : clients) {
    each.join();
  }
  stop();

  int late = 0;
  long last = 0;
  for (const arrival& each : arrivals) {
    const auto& [machine, sentAt] = sent[each.mRequest];
    if (each.mLeaf != "i-9002" || each.mAt <= removedAt + kDrainMs ||
        (trouble && LosesPower(machine))) {
      continue; // Machines that lost power are not in touch.
    }
    ++late;
    last = std::max(last, each.mAt - removedAt);
    log.Line("LATE: " + each.mRequest + ", sent to " + machine + " " +
             std::to_string(sentAt - removedAt) +
             " ms after the acknowledgement, reached i-9002 after " +
             std::to_string(each.mAt - removedAt) + " ms");
  }
  log.Say("served " + std::to_string(served) + ", unserved " +
          std::to_string(unserved) +
          "; requests that machines in touch sent to i-9002 later than "
          "drain_ms: " +
          std::to_string(late) +
          (late > 0 ? ", the last after " + std::to_string(last) + " ms" : ""));
  log.Say(late > 0 ? "DRAIN is broken" : "DRAIN holds");
  std::_Exit(late > 0 ? 1 : 0);
}
