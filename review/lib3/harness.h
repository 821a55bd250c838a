/**
 * @file harness.h
 * Stand-ins for the platform's store, leaves and clients, and the start of
 * entry instances, for the scripts of this review. All sockets are on loopback
 * addresses.
 */
#ifndef MONSOONCROFT_REVIEW_LIB3_HARNESS_H
#define MONSOONCROFT_REVIEW_LIB3_HARNESS_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace harness {

using json = nlohmann::json;

inline long
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

inline long
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void
SleepMs(long aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

/** Lines of record.txt, each with the ms since the start. */
class record
{
public:
  explicit record(const std::string& aPath)
    : mFile(std::fopen(aPath.c_str(), "w"))
    , mStart(NowMs())
  {
  }
  void Line(const std::string& aText)
  {
    const std::lock_guard lock(mMutex);
    std::fprintf(
      mFile, "%7.3f %s\n", (NowMs() - mStart) / 1000.0, aText.c_str());
    std::fflush(mFile);
  }
  /** Also to standard output. */
  void Say(const std::string& aText)
  {
    Line(aText);
    std::printf("%s\n", aText.c_str());
    std::fflush(stdout);
  }

private:
  std::FILE* mFile;
  long mStart;
  std::mutex mMutex;
};

struct address
{
  std::string mIp;
  int mPort = 0;
  std::string Text() const { return mIp + ":" + std::to_string(mPort); }
};

inline sockaddr_in
SocketAddress(const address& aAddress)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(aAddress.mPort));
  inet_pton(AF_INET, aAddress.mIp.c_str(), &out.sin_addr);
  return out;
}

/** Listens on a free port of a loopback address. */
inline int
Listen(address& aAddress)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in at = SocketAddress(aAddress);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
      ::listen(fd, 256) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  socklen_t length = sizeof(at);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &length);
  aAddress.mPort = ntohs(at.sin_port);
  return fd;
}

/** A run of ports that are free for TCP and UDP on an address at this moment.
 */
inline std::vector<int>
FreePorts(const std::vector<std::string>& aIps, std::size_t aCount)
{
  std::vector<int> ports;
  for (int port = 20'000 + static_cast<int>(::getpid() * 37 % 20'000);
       ports.size() < aCount && port < 60'000;
       ++port) {
    bool free = true;
    for (const std::string& ip : aIps) {
      for (const int type : { SOCK_STREAM, SOCK_DGRAM }) {
        const int fd = ::socket(AF_INET, type, 0);
        sockaddr_in at = SocketAddress({ ip, port });
        free =
          free && ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0;
        ::close(fd);
      }
    }
    if (free) {
      ports.push_back(port);
    } else {
      ports.clear();
    }
  }
  return ports;
}

inline bool
WriteAll(int aFd, const std::string& aBytes)
{
  std::size_t done = 0;
  while (done < aBytes.size()) {
    const ssize_t count =
      ::send(aFd, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(count);
  }
  return true;
}

/** Closes a connection with a reset. */
inline void
Reset(int aFd)
{
  const linger now{ 1, 0 };
  ::setsockopt(aFd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  ::close(aFd);
}

struct message
{
  std::string mStart;                         ///< First line.
  std::map<std::string, std::string> mFields; ///< Names in lower case.
  std::string mBody;

  std::string Field(const std::string& aName) const
  {
    const auto found = mFields.find(aName);
    return found == mFields.end() ? std::string() : found->second;
  }
  std::string Method() const { return mStart.substr(0, mStart.find(' ')); }
  std::string Target() const
  {
    const auto from = mStart.find(' ') + 1;
    return mStart.substr(from, mStart.find(' ', from) - from);
  }
  int Status() const
  {
    return mStart.size() < 12 ? 0 : std::atoi(mStart.c_str() + 9);
  }
};

enum class read_end
{
  Message,
  Closed, ///< Orderly end before the first byte or in the middle.
  Broken, ///< A reset.
  Timeout,
};

/** One connection with a buffer of what was read ahead. */
class connection
{
public:
  explicit connection(int aFd)
    : mFd(aFd)
  {
    const int one = 1;
    ::setsockopt(mFd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  ~connection() { Close(); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  int Fd() const { return mFd; }
  bool HasPartOfMessage() const { return !mBuffer.empty(); }
  void Close()
  {
    if (mFd >= 0) {
      ::close(mFd);
      mFd = -1;
    }
  }
  void ResetNow()
  {
    if (mFd >= 0) {
      Reset(mFd);
      mFd = -1;
    }
  }

  /** Reads one message with a length, or without a body. */
  read_end Read(message& aOut, long aTimeoutMs)
  {
    const long until = NowMs() + aTimeoutMs;
    std::size_t headEnd = std::string::npos;
    while ((headEnd = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      const read_end end = ReadMore(until);
      if (end != read_end::Message) {
        return end;
      }
    }
    aOut = message();
    std::size_t position = mBuffer.find("\r\n");
    aOut.mStart = mBuffer.substr(0, position);
    position += 2;
    while (position < headEnd) {
      const auto lineEnd = mBuffer.find("\r\n", position);
      const std::string line = mBuffer.substr(position, lineEnd - position);
      position = lineEnd + 2;
      const auto colon = line.find(':');
      std::string name = line.substr(0, colon);
      std::transform(name.begin(),
                     name.end(),
                     name.begin(),
                     [](unsigned char c) { return std::tolower(c); });
      std::string value =
        colon == std::string::npos ? "" : line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      aOut.mFields[name] = value;
    }
    const std::string length = aOut.Field("content-length");
    const std::size_t body =
      length.empty() ? 0 : static_cast<std::size_t>(std::atol(length.c_str()));
    while (mBuffer.size() < headEnd + 4 + body) {
      const read_end end = ReadMore(until);
      if (end != read_end::Message) {
        return end;
      }
    }
    aOut.mBody = mBuffer.substr(headEnd + 4, body);
    mBuffer.erase(0, headEnd + 4 + body);
    return read_end::Message;
  }

private:
  read_end ReadMore(long aUntil)
  {
    pollfd entry{ mFd, POLLIN, 0 };
    const long left = aUntil - NowMs();
    if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) {
      return read_end::Timeout;
    }
    char bytes[65536];
    const ssize_t count = ::recv(mFd, bytes, sizeof(bytes), 0);
    if (count == 0) {
      return read_end::Closed;
    }
    if (count < 0) {
      return read_end::Broken;
    }
    mBuffer.append(bytes, static_cast<std::size_t>(count));
    return read_end::Message;
  }

  int mFd;
  std::string mBuffer;
};

inline std::unique_ptr<connection>
Connect(const address& aTo)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in at = SocketAddress(aTo);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0) {
    ::close(fd);
    return nullptr;
  }
  return std::make_unique<connection>(fd);
}

/** Accepts connections and serves each in a thread of its own. */
class server
{
public:
  using handler = std::function<void(connection&)>;

  server(address aAddress, handler aHandler)
    : mAddress(std::move(aAddress))
    , mHandler(std::move(aHandler))
    , mFd(Listen(mAddress))
  {
    mThread = std::thread([this] {
      while (true) {
        const int fd = ::accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          return;
        }
        std::thread([this, fd] {
          connection served(fd);
          mHandler(served);
        }).detach();
      }
    });
  }
  /** Closes the listener; connections go on. */
  void StopListening()
  {
    if (!std::exchange(mStopped, true)) {
      ::shutdown(mFd, SHUT_RDWR);
      mThread.join();
      ::close(mFd);
    }
  }
  const address& At() const { return mAddress; }

private:
  address mAddress;
  handler mHandler;
  int mFd;
  bool mStopped = false;
  std::thread mThread;
};

inline std::string
Base64(const std::string& aText)
{
  static const char* const kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t at = 0; at < aText.size(); at += 3) {
    unsigned bits = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      bits = bits << 8 |
             (at + i < aText.size() ? static_cast<unsigned char>(aText[at + i])
                                    : 0U);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      out += at + i > aText.size() ? '=' : kDigits[bits >> (18 - 6 * i) & 63U];
    }
  }
  return out;
}

inline std::map<std::string, std::string>
Query(const std::string& aTarget)
{
  std::map<std::string, std::string> out;
  const auto start = aTarget.find('?');
  std::string rest =
    start == std::string::npos ? "" : aTarget.substr(start + 1);
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const std::string item = rest.substr(0, end);
    rest.erase(0, end + 1);
    const auto equals = item.find('=');
    std::string value;
    for (std::size_t at = equals + 1;
         equals != std::string::npos && at < item.size();
         ++at) {
      if (item[at] == '%' && at + 2 < item.size()) {
        value +=
          static_cast<char>(std::stoi(item.substr(at + 1, 2), nullptr, 16));
        at += 2;
      } else {
        value += item[at];
      }
    }
    out[item.substr(0, equals)] = value;
  }
  return out;
}

/** The platform's metadata store, as far as entry instances read it. */
class store
{
public:
  /** Age in ms of the state that a cheap read of a range answers from, by its
   * prefix and the key after which the page begins; 0: the present state. */
  using read_age = std::function<long(const std::string&, const std::string&)>;

  explicit store(const std::string& aIp, std::size_t aPageItems = 50)
    : mPageItems(aPageItems)
    , mServer({ aIp, 0 },
              [this](connection& aConnection) { Serve(aConnection); })
  {
  }

  const address& At() const { return mServer.At(); }
  void SetReadAge(read_age aAge)
  {
    const std::lock_guard lock(mMutex);
    mReadAge = std::move(aAge);
  }
  /** Called for each call before it is answered; returns false to drop the
   * connection without an answer. */
  void SetHook(std::function<bool(const message&)> aHook)
  {
    const std::lock_guard lock(mMutex);
    mHook = std::move(aHook);
  }
  /** @return The revision, and with it the acknowledgement. */
  long Put(const std::string& aKey, const std::string& aValue)
  {
    return Change({ 0, NowMs(), aKey, aValue, false });
  }
  long Remove(const std::string& aKey)
  {
    return Change({ 0, NowMs(), aKey, "", true });
  }

private:
  struct event
  {
    long mRevision;
    long mAt;
    std::string mKey;
    std::string mValue;
    bool mRemoved;
  };
  struct item
  {
    std::string mValue;
    long mRevision;
    long mCreated;
  };

  long Change(event aEvent)
  {
    const std::lock_guard lock(mMutex);
    aEvent.mRevision = ++mRevision;
    mEvents.push_back(std::move(aEvent));
    mChanged.notify_all();
    return mRevision;
  }

  /** The state of some time ago, and its revision. */
  std::pair<std::map<std::string, item>, long> StateBefore(long aAgeMs) const
  {
    std::map<std::string, item> state;
    long revision = kFirstRevision;
    const long until = NowMs() - aAgeMs;
    for (const event& each : mEvents) {
      if (aAgeMs > 0 && each.mAt > until) {
        break;
      }
      revision = each.mRevision;
      if (each.mRemoved) {
        state.erase(each.mKey);
        continue;
      }
      const auto known = state.find(each.mKey);
      const long created =
        known == state.end() ? each.mRevision : known->second.mCreated;
      state[each.mKey] = { each.mValue, each.mRevision, created };
    }
    return { state, revision };
  }

  static json ItemJson(const std::string& aKey, const item& aItem)
  {
    return { { "key", aKey },
             { "value", Base64(aItem.mValue) },
             { "revision", aItem.mRevision },
             { "created", aItem.mCreated },
             { "lease", 0 } };
  }

  void Serve(connection& aConnection)
  {
    message request;
    while (aConnection.Read(request, 600'000) == read_end::Message) {
      int status = 200;
      const auto body = Answer(request, status);
      if (!body) {
        aConnection.Close();
        return;
      }
      const std::string text = body->dump();
      WriteAll(
        aConnection.Fd(),
        "HTTP/1.1 " + std::to_string(status) +
          " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
          std::to_string(text.size()) + "\r\n\r\n" + text);
    }
  }

  std::optional<json> Answer(const message& aRequest, int& aStatus)
  {
    std::unique_lock lock(mMutex);
    if (const auto hook = mHook) {
      lock.unlock();
      if (!hook(aRequest)) {
        return std::nullopt;
      }
      lock.lock();
    }
    const std::string target = aRequest.Target();
    const std::string path = target.substr(0, target.find('?'));
    auto query = Query(target);
    if (path == "/monsooncroft/kv-key") {
      const auto [state, revision] = StateBefore(0);
      const auto found = state.find(query["key"]);
      if (found == state.end()) {
        aStatus = 404;
        return json{ { "store_revision", revision } };
      }
      json out = ItemJson(found->first, found->second);
      out["store_revision"] = revision;
      return out;
    }
    if (path == "/monsooncroft/kv-range") {
      const bool cheap = query["serializable"] == "1";
      const long age =
        cheap && mReadAge ? mReadAge(query["prefix"], query["after"]) : 0;
      const auto [state, revision] = StateBefore(age);
      json items = json::array();
      bool more = false;
      for (const auto& [key, each] : state) {
        if (key.rfind(query["prefix"], 0) != 0 || key <= query["after"]) {
          continue;
        }
        if (items.size() == mPageItems) {
          more = true;
          break;
        }
        items.push_back(ItemJson(key, each));
      }
      return json{ { "items", items },
                   { "has_more", more },
                   { "store_revision", revision } };
    }
    if (path == "/monsooncroft/kv-watch") {
      const long after = std::atol(query["after"].c_str());
      const long until = NowMs() + std::atol(query["wait_ms"].c_str());
      json events = json::array();
      const auto collect = [&] {
        for (const event& each : mEvents) {
          if (each.mRevision <= after ||
              each.mKey.rfind(query["prefix"], 0) != 0) {
            continue;
          }
          if (each.mRemoved) {
            events.push_back({ { "key", each.mKey },
                               { "revision", each.mRevision },
                               { "removed", true } });
          } else {
            events.push_back(ItemJson(
              each.mKey, { each.mValue, each.mRevision, each.mRevision }));
          }
        }
      };
      collect();
      while (events.empty() && NowMs() < until) {
        mChanged.wait_for(lock, std::chrono::milliseconds(100));
        collect();
      }
      return json{ { "events", events }, { "store_revision", mRevision } };
    }
    aStatus = 404;
    return json::object();
  }

  static constexpr long kFirstRevision = 100;
  const std::size_t mPageItems;
  std::mutex mMutex;
  std::condition_variable mChanged;
  long mRevision = kFirstRevision;
  std::vector<event> mEvents;
  read_age mReadAge;
  std::function<bool(const message&)> mHook;
  server mServer;
};

/** The registration of a leaf. */
inline std::string
Registration(const std::string& aService,
             const address& aAddress,
             const std::string& aZone,
             const std::string& aState,
             long aBorn)
{
  return json{
    { "service", aService },
    { "address", aAddress.Text() },
    { "zone", aZone },
    { "version", "v1" },
    { "slots", 2 },
    { "state", aState },
    { "cold_remaining_ms", 0 },
    { "sequence", 1 },
    { "born", aBorn }
  }.dump();
}

/** One entry instance. */
struct instance
{
  std::string mName;
  std::string mZone;
  std::string mIp;
  int mFront = 0;
  int mReady = 0;
  int mControl = 0;
  int mPeer = 0;
  address mStore;
  std::vector<std::string> mSeedIps;
  std::string mFolder;      ///< For the settings file and the log.
  std::string mExtraBounds; ///< Lines of the settings under bounds.
  pid_t mPid = -1;

  std::string SettingsPath() const { return mFolder + "/" + mName + ".yaml"; }

  /** Settings of a small deployment (sites/sanna-search). */
  void WriteSettings() const
  {
    std::FILE* file = std::fopen(SettingsPath().c_str(), "w");
    std::fprintf(
      file,
      "node_name: \"%s\"\nrole: \"entry\"\nmachine_class: \"front\"\nserves:\n "
      " - \"front\"\n  - \"control\"\n"
      "ip: \"%s\"\nzone: \"%s\"\nregion: \"delta-north\"\n"
      "zones:\n  tanta: \"delta-north\"\n  mahalla: \"delta-north\"\n  "
      "kafr-zayat: \"delta-north\"\n"
      "listen:\n  front: \"%s:%d\"\n  ready: \"%s:%d\"\n  control: \"%s:%d\"\n"
      "internal_port_range:\n  - %d\n  - %d\nseeds:\n",
      mName.c_str(),
      mIp.c_str(),
      mZone.c_str(),
      mIp.c_str(),
      mFront,
      mIp.c_str(),
      mReady,
      mIp.c_str(),
      mControl,
      mPeer,
      mPeer + 1);
    for (const std::string& ip : mSeedIps) {
      std::fprintf(file, "  - \"%s:%d\"\n", ip.c_str(), mControl);
    }
    std::fprintf(file,
                 "bootstrap: true\nin_failure_budget: false\n"
                 "limits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: 260\n  "
                 "max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n"
                 "data_dir: null\ndiscovery: \"platform\"\nentry: "
                 "\"vip\"\nheartbeat_ms: 1200\n"
                 "bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  "
                 "stability_window_ms: 4000\n  ack_timeout_ms: 5000\n"
                 "  catch_up_s: 4\n  drain_ms: 3000\n  grace_s: 6\n  "
                 "loss_slack_ms: 200\n  config_apply_ms: 3000\n"
                 "  rollback_slack_ms: 250\n  max_skew_ms: 12000\n  "
                 "retry_budget_ratio: 0.2\n  budget_window_s: 10\n"
                 "  retry_budget_slack: 58\n  recovery_s: 12\n%s"
                 "platform:\n  address: \"%s\"\n  form: \"kv\"\n  "
                 "writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n"
                 "  max_value_bytes: 1048576\n  min_ttl_ms: 1000\n",
                 mExtraBounds.c_str(),
                 mStore.Text().c_str());
    std::fclose(file);
  }

  void Start(const std::string& aProgram)
  {
    WriteSettings();
    mPid = ::fork();
    if (mPid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the script.
      ::setenv("MONSOONCROFT_CONFIG", SettingsPath().c_str(), 1);
      const int log = ::open((mFolder + "/" + mName + ".log").c_str(),
                             O_CREAT | O_WRONLY | O_APPEND,
                             0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::execl(aProgram.c_str(), aProgram.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
  }
  void Signal(int aSignal) const
  {
    if (mPid > 0) {
      ::kill(mPid, aSignal);
    }
  }
  /** Waits for the end of the process. */
  bool Wait(long aMs)
  {
    const long until = NowMs() + aMs;
    while (mPid > 0 && NowMs() < until) {
      int status = 0;
      if (::waitpid(mPid, &status, WNOHANG) == mPid) {
        mPid = -1;
        return true;
      }
      SleepMs(5);
    }
    return mPid <= 0;
  }
  void Kill()
  {
    if (mPid > 0) {
      Signal(SIGCONT);
      Signal(SIGKILL);
      Wait(5'000);
    }
  }
  bool IsReady() const
  {
    const auto link = Connect({ mIp, mReady });
    if (!link ||
        !WriteAll(
          link->Fd(),
          "GET /monsooncroft/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")) {
      return false;
    }
    message answer;
    return link->Read(answer, 500) == read_end::Message &&
           answer.Status() == 200;
  }
  bool AwaitReady(long aMs) const
  {
    const long until = NowMs() + aMs;
    while (NowMs() < until) {
      if (IsReady()) {
        return true;
      }
      SleepMs(50);
    }
    return false;
  }
  address Front() const { return { mIp, mFront }; }
};

/** Instances with the same ports on addresses of their own, seeds included. */
inline std::vector<instance>
MakeInstances(const std::vector<std::string>& aZones,
              const address& aStore,
              const std::string& aFolder)
{
  std::vector<std::string> ips;
  for (std::size_t index = 0; index < aZones.size(); ++index) {
    ips.push_back("127.0.1." + std::to_string(11 + index));
  }
  const std::vector<int> ports = FreePorts(ips, 5);
  std::vector<instance> out(aZones.size());
  std::map<std::string, int> ofZone;
  for (std::size_t index = 0; index < aZones.size(); ++index) {
    instance& each = out[index];
    each.mZone = aZones[index];
    each.mName =
      "front-" + each.mZone + "-" + std::to_string(++ofZone[each.mZone]);
    each.mIp = ips[index];
    each.mFront = ports[0];
    each.mReady = ports[1];
    each.mControl = ports[2];
    each.mPeer = ports[3];
    each.mStore = aStore;
    each.mSeedIps = { ips.begin(),
                      ips.begin() + static_cast<long>(
                                      std::min<std::size_t>(3, ips.size())) };
    each.mFolder = aFolder;
  }
  return out;
}

} // namespace harness

#endif
