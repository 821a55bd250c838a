/**
 * @file leaf_attempt.cpp
 * Reading of attempts, and their results.
 */
#include "standin/leaf_attempt.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace monsooncroft::standin {

using nlohmann::json;

namespace {

constexpr std::uint64_t kScoreRange = 1000;
constexpr int kMostItems = 1000;

std::uint64_t
Score(const leaf_attempt& aAttempt, int aItem)
{
  const std::string text = aAttempt.mRequest + '/' + aAttempt.mShard + '/' +
                           std::to_string(aAttempt.mSnapshot) + '/' +
                           std::to_string(aItem);
  return XXH3_64bits(text.data(), text.size()) % kScoreRange;
}

} // namespace

leaf_attempt
ParseAttempt(const json& aBody, model::instant aNow)
{
  leaf_attempt attempt;
  attempt.mRequest = aBody.at("request_id");
  attempt.mAttempt = aBody.at("attempt_id");
  attempt.mService = aBody.at("service");
  attempt.mShard = aBody.at("shard");
  attempt.mSnapshot = aBody.at("snapshot");
  attempt.mIdempotent = aBody.at("idempotent");
  attempt.mBody = aBody.value("body", json());
  const std::chrono::duration<double, std::milli> remaining(
    aBody.at("remaining_ms").get<double>());
  attempt.mExpires =
    aNow + std::chrono::duration_cast<model::duration>(remaining);
  return attempt;
}

json
ResultOf(const leaf_attempt& aAttempt)
{
  const json& body = aAttempt.mBody;
  if (body.is_object() && body.value("sum", false)) {
    return { { "count", 1 } };
  }
  const int asked = body.is_object() ? body.value("items", 1) : 1;
  const int items = std::min(asked, kMostItems);
  json result = json::array();
  for (int item = 0; item < items; ++item) {
    result.push_back({ { "shard", aAttempt.mShard },
                       { "version", aAttempt.mSnapshot },
                       { "request", aAttempt.mRequest },
                       { "score", Score(aAttempt, item) } });
  }
  return result;
}

} // namespace monsooncroft::standin
