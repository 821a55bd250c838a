/**
 * @file json_text.cpp
 * Bounded reading of JSON texts.
 */
#include "config/json_text_func.h"

#include <set>

namespace monsooncroft::config {

namespace {

using nlohmann::json;

constexpr std::size_t kShownBytes = 80;

/** Watches a parse for depth and for names that stand twice in one object. */
class parse_guard
{
public:
  parse_guard(int aDepth, config_errors& aErrors)
    : mDepth(aDepth)
    , mErrors(aErrors)
  {
  }

  bool OnEvent(int aDepth, json::parse_event_t aEvent, const json& aValue)
  {
    switch (aEvent) {
      case json::parse_event_t::object_start:
        mNames.emplace_back();
        return CheckDepth(aDepth);
      case json::parse_event_t::array_start:
        return CheckDepth(aDepth);
      case json::parse_event_t::object_end:
        mNames.pop_back();
        return true;
      case json::parse_event_t::key:
        CheckName(aValue.get_ref<const std::string&>());
        return true;
      default:
        return true;
    }
  }

private:
  bool CheckDepth(int aDepth)
  {
    if (aDepth < mDepth) {
      return true;
    }
    if (!mTooDeep) {
      mErrors.push_back({ "",
                          "nesting of more than " + std::to_string(mDepth),
                          "at most " + std::to_string(mDepth) + " levels" });
    }
    mTooDeep = true;
    return false;
  }

  void CheckName(const std::string& aName)
  {
    if (mTooDeep || mNames.empty()) {
      return;
    }
    if (!mNames.back().insert(aName).second) {
      mErrors.push_back({ "",
                          "the name " + Shown(aName) + " twice in one object",
                          "each name once" });
    }
  }

  int mDepth;                                ///< Deepest nesting allowed.
  bool mTooDeep = false;                     ///< Already reported.
  std::vector<std::set<std::string>> mNames; ///< Names of each open object.
  config_errors& mErrors;                    ///< Where faults go.
};

/** Where the first fault of syntax is; parses once more to find it. */
config_error
SyntaxError(const std::string& aText)
{
  try {
    const json whole = json::parse(aText);
    return { "", Shown(whole), "a JSON text in UTF-8" };
  } catch (const json::parse_error& error) {
    return { "",
             "no JSON at byte " + std::to_string(error.byte),
             "a JSON text in UTF-8" };
  } catch (const json::exception&) {
    return { "", "a number out of range", "numbers that fit a double" };
  }
}

} // namespace

std::optional<json>
ReadJson(const std::string& aText,
         const json_limits& aLimits,
         config_errors& aErrors)
{
  if (aText.size() > aLimits.mBytes) {
    aErrors.push_back(
      { "",
        std::to_string(aText.size()) + " bytes",
        "at most " + std::to_string(aLimits.mBytes) + " bytes" });
    return std::nullopt;
  }
  const std::size_t before = aErrors.size();
  parse_guard guard(aLimits.mDepth, aErrors);
  const auto watch =
    [&guard](int aDepth, json::parse_event_t aEvent, json& aValue) {
      return guard.OnEvent(aDepth, aEvent, aValue);
    };
  json value = json::parse(aText.begin(), aText.end(), watch, false);
  if (aErrors.size() > before) {
    return std::nullopt;
  }
  if (value.is_discarded()) {
    aErrors.push_back(SyntaxError(aText));
    return std::nullopt;
  }
  return value;
}

std::string
WriteJson(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string
Shown(const json& aValue)
{
  std::string text = WriteJson(aValue);
  if (text.size() <= kShownBytes) {
    return text;
  }
  std::size_t cut = kShownBytes;
  const auto continues = [&text](std::size_t aAt) {
    return (static_cast<unsigned char>(text[aAt]) & 0xC0U) == 0x80U;
  };
  while (cut > 0 && continues(cut)) {
    --cut;
  }
  return text.substr(0, cut) + "...";
}

std::string
Below(const std::string& aPath, const std::string& aName)
{
  std::string out = aPath + "/";
  for (const char letter : aName) {
    if (letter == '~') {
      out += "~0";
    } else if (letter == '/') {
      out += "~1";
    } else {
      out += letter;
    }
  }
  return out;
}

std::string
Below(const std::string& aPath, std::size_t aIndex)
{
  return aPath + "/" + std::to_string(aIndex);
}

std::string
ToString(const config_error& aError)
{
  const std::string path = aError.mPath.empty() ? "text" : aError.mPath;
  return path + ": found " + aError.mFound + ", allowed: " + aError.mAllowed;
}

} // namespace monsooncroft::config
