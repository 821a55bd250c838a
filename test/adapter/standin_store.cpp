/**
 * @file standin_store.cpp
 * A small store on loopback that speaks the platform's protocol.
 */
#include "standin_store.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace monsooncroft::adapter {

namespace {

using json = nlohmann::json;

std::string
EncodeBase64(const std::string& aText)
{
  using namespace boost::archive::iterators;
  using encoder =
    base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
  std::string out(encoder(aText.begin()), encoder(aText.end()));
  out.append((4 - out.size() % 4) % 4, '=');
  return out;
}

/** Decodes a text of a query; "+" stands for a space, as in forms. */
std::string
DecodeQueryText(const std::string& aText)
{
  std::string out;
  for (std::size_t index = 0; index < aText.size(); ++index) {
    if (aText[index] == '%' && index + 2 < aText.size()) {
      out.push_back(
        static_cast<char>(std::stoi(aText.substr(index + 1, 2), nullptr, 16)));
      index += 2;
    } else {
      out.push_back(aText[index] == '+' ? ' ' : aText[index]);
    }
  }
  return out;
}

/** Value of a parameter in a target's query; empty if there is none. */
std::string
Parameter(const std::string& aTarget, const std::string& aName)
{
  for (const char* separator : { "?", "&" }) {
    const std::string start = separator + aName + "=";
    const std::size_t found = aTarget.find(start);
    if (found != std::string::npos) {
      const std::size_t begin = found + start.size();
      return aTarget.substr(begin, aTarget.find('&', begin) - begin);
    }
  }
  return {};
}

} // namespace

standin_store::standin_store(gateway::event_loop& aLoop, const ops::log& aLog)
  : mServer(aLoop,
            aLog,
            [this](gateway::fake_leaf::connection& aConnection,
                   const gateway::http_message& aRequest) {
              Answer(aConnection, aRequest);
            })
{
}

void
standin_store::Put(const std::string& aKey, const std::string& aValue)
{
  mContent.mItems[aKey] = { aValue, ++mContent.mRevision };
  mLastChanges[aKey] = mContent.mRevision;
  AnswerWatches();
}

void
standin_store::Remove(const std::string& aKey)
{
  mContent.mItems.erase(aKey);
  mLastChanges[aKey] = ++mContent.mRevision;
  AnswerWatches();
}

void
standin_store::Restore(const copy& aCopy, bool aEndWatches)
{
  mContent = aCopy;
  ++mEra;
  std::erase_if(mLastChanges, [this](const auto& aChange) {
    return aChange.second > mContent.mRevision;
  });
  const auto watches = std::exchange(mWatches, {});
  for (const watch& each : watches) {
    if (aEndWatches) {
      each.mConnection->Reset();
    }
  }
}

void
standin_store::Answer(gateway::fake_leaf::connection& aConnection,
                      const gateway::http_message& aRequest)
{
  const std::string& target = aRequest.mTarget;
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/monsooncroft/kv-key") {
    AnswerKey(aConnection, Parameter(target, "key"));
  } else if (path == "/monsooncroft/kv-range") {
    AnswerRange(aConnection,
                Parameter(target, "prefix"),
                DecodeQueryText(Parameter(target, "after")),
                Parameter(target, "serializable") == "1");
  } else if (path == "/monsooncroft/kv-watch") {
    const watch request{ &aConnection,
                         Parameter(target, "prefix"),
                         std::stoull(Parameter(target, "after")) };
    if (request.mAfter > mContent.mRevision) {
      Write(aConnection, 410, "{}");
    } else if (!AnswerWatch(request)) {
      mWatches.push_back(request);
    }
  } else {
    Write(aConnection, 404, "{}");
  }
}

nlohmann::json
standin_store::Item(const std::string& aKey) const
{
  const auto found = mContent.mItems.find(aKey);
  if (found == mContent.mItems.end()) {
    return { { "key", aKey },
             { "revision", mLastChanges.at(aKey) },
             { "removed", true } };
  }
  return Item(aKey, found->second);
}

nlohmann::json
standin_store::Item(const std::string& aKey, const copy::item& aItem)
{
  return { { "key", aKey },
           { "value", EncodeBase64(aItem.mValue) },
           { "revision", aItem.mRevision },
           { "created", aItem.mRevision },
           { "lease", 0 } };
}

void
standin_store::AnswerKey(gateway::fake_leaf::connection& aConnection,
                         const std::string& aKey)
{
  if (!mContent.mItems.contains(aKey)) {
    Write(aConnection, 404, "{}");
    return;
  }
  json body = Item(aKey);
  body["store_revision"] = mContent.mRevision;
  Write(aConnection, 200, body.dump());
}

void
standin_store::AnswerRange(gateway::fake_leaf::connection& aConnection,
                           const std::string& aPrefix,
                           const std::string& aAfter,
                           bool aMayBeStale)
{
  const copy shown = mPageSource ? mPageSource(aAfter, aMayBeStale) : mContent;
  json items = json::array();
  bool hasMore = false;
  for (const auto& [key, item] : shown.mItems) {
    if (!key.starts_with(aPrefix) || key <= aAfter) {
      continue;
    }
    hasMore = items.size() == mPageItems;
    if (hasMore) {
      break;
    }
    items.push_back(Item(key, item));
  }
  const json body{ { "items", items },
                   { "has_more", hasMore },
                   { "store_revision", shown.mRevision } };
  Write(aConnection, 200, body.dump());
}

bool
standin_store::AnswerWatch(const watch& aWatch)
{
  json events = json::array();
  for (const auto& [key, revision] : mLastChanges) {
    if (!mWatchesAreSilent && key.starts_with(aWatch.mPrefix) &&
        revision > aWatch.mAfter) {
      events.push_back(Item(key));
    }
  }
  if (events.empty()) {
    return false;
  }
  const json body{ { "events", events },
                   { "store_revision", mContent.mRevision } };
  Write(*aWatch.mConnection, 200, body.dump());
  return true;
}

void
standin_store::AnswerWatches()
{
  std::erase_if(mWatches, [this](const watch& aWatch) {
    return aWatch.mConnection->Ended() || AnswerWatch(aWatch);
  });
}

void
standin_store::Write(gateway::fake_leaf::connection& aConnection,
                     int aStatus,
                     const std::string& aBody) const
{
  aConnection.Write("HTTP/1.1 " + std::to_string(aStatus) +
                    " X\r\nStore-Era: " + std::to_string(mEra) +
                    "\r\nContent-Length: " + std::to_string(aBody.size()) +
                    "\r\n\r\n" + aBody);
}

} // namespace monsooncroft::adapter
