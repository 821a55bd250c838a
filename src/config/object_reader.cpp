/**
 * @file object_reader.cpp
 * Reading the members of one JSON object.
 */
#include "config/object_reader_base.h"

#include <algorithm>
#include <sstream>

namespace monsooncroft::config {

using nlohmann::json;

const char* const kNameAllowed = "1 to 100 letters, digits, '.', '_' or '-'";
const char* const kLabelAllowed = "1 to 128 bytes without control characters";

namespace {

constexpr std::size_t kLongestName = 100;
constexpr std::size_t kLongestLabel = 128;
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7F;

const json kEmptyArray = json::array();

bool
IsNameLetter(char aLetter)
{
  const bool letter =
    (aLetter >= 'a' && aLetter <= 'z') || (aLetter >= 'A' && aLetter <= 'Z');
  const bool digit = aLetter >= '0' && aLetter <= '9';
  return letter || digit || aLetter == '.' || aLetter == '_' || aLetter == '-';
}

bool
IsPrintable(char aLetter)
{
  const auto byte = static_cast<unsigned char>(aLetter);
  return byte >= kFirstPrintable && byte != kDelete;
}

template<class Number>
std::string
Range(const char* aWhat, bounds<Number> aBounds)
{
  std::ostringstream out;
  out << aWhat << " from " << aBounds.mLeast << " to " << aBounds.mGreatest;
  return out.str();
}

/** A whole number that fits, or nothing. */
std::optional<std::int64_t>
WholeNumber(const json& aValue)
{
  if (aValue.is_number_unsigned()) {
    const auto number = aValue.get<std::uint64_t>();
    return number <= static_cast<std::uint64_t>(INT64_MAX)
             ? std::optional(static_cast<std::int64_t>(number))
             : std::nullopt;
  }
  return aValue.is_number_integer() ? std::optional(aValue.get<std::int64_t>())
                                    : std::nullopt;
}

} // namespace

bool
IsName(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kLongestName &&
         std::all_of(aText.begin(), aText.end(), IsNameLetter);
}

bool
IsLabel(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kLongestLabel &&
         std::all_of(aText.begin(), aText.end(), IsPrintable);
}

std::optional<model::endpoint>
ReadEndpoint(const json& aValue)
{
  if (!aValue.is_string()) {
    return std::nullopt;
  }
  const auto& text = aValue.get_ref<const std::string&>();
  const auto isDigit = [](char aLetter) {
    return aLetter >= '0' && aLetter <= '9';
  };
  for (std::size_t i = 0; i + 1 < text.size(); ++i) {
    const bool first = i == 0 || !isDigit(text[i - 1]);
    if (first && text[i] == '0' && isDigit(text[i + 1])) {
      return std::nullopt;
    }
  }
  return model::endpoint::Parse(text);
}

object_reader::object_reader(const json& aValue,
                             std::string aPath,
                             config_errors& aErrors)
  : mValue(aValue)
  , mPath(std::move(aPath))
  , mErrors(aErrors)
{
  if (!mValue.is_object()) {
    mErrors.push_back({ mPath, Shown(mValue), "an object" });
  }
}

std::string
object_reader::PathOf(const char* aMember) const
{
  return Below(mPath, std::string(aMember));
}

bool
object_reader::Has(const char* aMember) const
{
  return mValue.is_object() && mValue.contains(aMember);
}

const json*
object_reader::Find(const char* aMember,
                    bool aRequired,
                    const std::string& aAllowed)
{
  mAsked.insert(aMember);
  if (!mValue.is_object()) {
    return nullptr;
  }
  const auto found = mValue.find(aMember);
  if (found != mValue.end()) {
    return &*found;
  }
  if (aRequired) {
    mErrors.push_back({ PathOf(aMember), "nothing", aAllowed });
  }
  return nullptr;
}

void
object_reader::Fault(const char* aMember,
                     const json& aFound,
                     const std::string& aAllowed)
{
  mErrors.push_back({ PathOf(aMember), Shown(aFound), aAllowed });
}

std::string
object_reader::Name(const char* aMember)
{
  const json* value = Find(aMember, true, kNameAllowed);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_string() || !IsName(value->get_ref<const std::string&>())) {
    Fault(aMember, *value, kNameAllowed);
    return {};
  }
  return value->get<std::string>();
}

std::string
object_reader::Label(const char* aMember)
{
  const json* value = Find(aMember, true, kLabelAllowed);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_string() || !IsLabel(value->get_ref<const std::string&>())) {
    Fault(aMember, *value, kLabelAllowed);
    return {};
  }
  return value->get<std::string>();
}

std::int64_t
object_reader::Integer(const char* aMember,
                       bounds<std::int64_t> aBounds,
                       std::optional<std::int64_t> aDefault)
{
  const std::string allowed = Range("a whole number", aBounds);
  const std::int64_t fallback = aDefault.value_or(aBounds.mLeast);
  const json* value = Find(aMember, !aDefault, allowed);
  if (value == nullptr) {
    return fallback;
  }
  const auto number = WholeNumber(*value);
  if (!number || *number < aBounds.mLeast || *number > aBounds.mGreatest) {
    Fault(aMember, *value, allowed);
    return fallback;
  }
  return *number;
}

double
object_reader::Number(const char* aMember,
                      bounds<double> aBounds,
                      std::optional<double> aDefault)
{
  const std::string allowed = Range("a number", aBounds);
  const double fallback = aDefault.value_or(aBounds.mLeast);
  const json* value = Find(aMember, !aDefault, allowed);
  if (value == nullptr) {
    return fallback;
  }
  const double number = value->is_number() ? value->get<double>() : 0;
  const bool within = number >= aBounds.mLeast && number <= aBounds.mGreatest;
  if (!value->is_number() || !within) {
    Fault(aMember, *value, allowed);
    return fallback;
  }
  return number;
}

bool
object_reader::Boolean(const char* aMember, std::optional<bool> aDefault)
{
  const std::string allowed = "true or false";
  const json* value = Find(aMember, !aDefault, allowed);
  if (value == nullptr) {
    return aDefault.value_or(false);
  }
  if (!value->is_boolean()) {
    Fault(aMember, *value, allowed);
    return aDefault.value_or(false);
  }
  return value->get<bool>();
}

model::endpoint
object_reader::Endpoint(const char* aMember)
{
  const std::string allowed = "a numeric address and a port, as 127.0.0.1:80";
  const json* value = Find(aMember, true, allowed);
  if (value == nullptr) {
    return {};
  }
  const auto parsed = ReadEndpoint(*value);
  if (!parsed) {
    Fault(aMember, *value, allowed);
  }
  return parsed.value_or(model::endpoint{});
}

std::size_t
object_reader::Choice(const char* aMember,
                      const std::vector<std::string>& aWords,
                      std::optional<std::size_t> aDefault)
{
  std::string allowed = "one of";
  for (const std::string& word : aWords) {
    allowed += " " + word;
  }
  const json* value = Find(aMember, !aDefault, allowed);
  if (value == nullptr) {
    return aDefault.value_or(0);
  }
  const auto found = value->is_string()
                       ? std::find(aWords.begin(),
                                   aWords.end(),
                                   value->get_ref<const std::string&>())
                       : aWords.end();
  if (found == aWords.end()) {
    Fault(aMember, *value, allowed);
    return aDefault.value_or(0);
  }
  return static_cast<std::size_t>(found - aWords.begin());
}

const json&
object_reader::Array(const char* aMember, bounds<std::size_t> aCount)
{
  const std::string allowed = Range("an array with a size", aCount);
  const json* value = Find(aMember, aCount.mLeast > 0, allowed);
  if (value == nullptr) {
    return kEmptyArray;
  }
  const bool fits = value->is_array() && value->size() >= aCount.mLeast &&
                    value->size() <= aCount.mGreatest;
  if (!fits) {
    Fault(aMember, *value, allowed);
    return value->is_array() && value->size() < aCount.mLeast ? *value
                                                              : kEmptyArray;
  }
  return *value;
}

const json*
object_reader::Any(const char* aMember)
{
  return Find(aMember, false, "");
}

void
object_reader::RefuseOthers()
{
  if (!mValue.is_object()) {
    return;
  }
  std::string allowed = "only";
  for (const std::string& name : mAsked) {
    allowed += " " + name;
  }
  for (const auto& [name, value] : mValue.items()) {
    if (mAsked.count(name) == 0) {
      mErrors.push_back(
        { Below(mPath, name), "the unknown name " + Shown(name), allowed });
    }
  }
}

} // namespace monsooncroft::config
