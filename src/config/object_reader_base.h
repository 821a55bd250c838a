/**
 * @file object_reader_base.h
 * Reads the members of one JSON object and collects every fault.
 */
#ifndef MONSOONCROFT_CONFIG_OBJECT_READER_BASE_H
#define MONSOONCROFT_CONFIG_OBJECT_READER_BASE_H

#include "config/json_text_func.h"
#include "model/endpoint_type.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace monsooncroft::config {

/** Least and greatest value, both allowed. */
template<class Number>
struct bounds
{
  Number mLeast;    ///< Least allowed.
  Number mGreatest; ///< Greatest allowed.
};

/**
 * Reads one object, member by member. A member that is missing or wrong adds
 * a fault and yields a harmless value, so that reading goes on to the next.
 * A member without a default is required.
 */
class object_reader
{
public:
  /**
   * @param aValue The object; anything else is itself a fault. Outlives this.
   * @param aPath JSON pointer to it.
   * @param aErrors Receives the faults; outlives this.
   */
  object_reader(const nlohmann::json& aValue,
                std::string aPath,
                config_errors& aErrors);

  /** A name: letters, digits, '.', '_' and '-', of bounded length. */
  std::string Name(const char* aMember);
  /** Any printable text of bounded length that is not empty. */
  std::string Label(const char* aMember);
  /** A whole number within bounds. */
  std::int64_t Integer(const char* aMember,
                       bounds<std::int64_t> aBounds,
                       std::optional<std::int64_t> aDefault = {});
  /** A number within bounds. */
  double Number(const char* aMember,
                bounds<double> aBounds,
                std::optional<double> aDefault = {});
  /** True or false. */
  bool Boolean(const char* aMember, std::optional<bool> aDefault = {});
  /** A numeric address and port. */
  model::endpoint Endpoint(const char* aMember);
  /** One of the words; the place of the word is returned. */
  std::size_t Choice(const char* aMember,
                     const std::vector<std::string>& aWords,
                     std::optional<std::size_t> aDefault = {});
  /** An array; an empty one if it is missing or wrong. */
  const nlohmann::json& Array(const char* aMember, bounds<std::size_t> aCount);
  /** Any value; null if it is missing. */
  const nlohmann::json* Any(const char* aMember);
  /** Reports every member that was never asked for. */
  void RefuseOthers();

  std::string PathOf(const char* aMember) const; ///< Pointer to a member.
  bool Has(const char* aMember) const;           ///< Whether it is there.

private:
  const nlohmann::json* Find(const char* aMember,
                             bool aRequired,
                             const std::string& aAllowed);
  void Fault(const char* aMember,
             const nlohmann::json& aFound,
             const std::string& aAllowed);

  const nlohmann::json& mValue; ///< The object.
  std::string mPath;            ///< Pointer to it.
  config_errors& mErrors;       ///< Where faults go.
  std::set<std::string> mAsked; ///< Members that were asked for.
};

/**
 * Parses an endpoint in its one canonical form, so that equal addresses are
 * equal texts.
 * @param aValue Any JSON value.
 * @return The endpoint, or nothing; numbers with leading zeros are refused.
 */
std::optional<model::endpoint>
ReadEndpoint(const nlohmann::json& aValue);

/** Whether a text may be a name; see object_reader::Name. */
bool
IsName(const std::string& aText);

/** Whether a text may be a label; see object_reader::Label. */
bool
IsLabel(const std::string& aText);

extern const char* const kNameAllowed;  ///< Rule for names, for errors.
extern const char* const kLabelAllowed; ///< Rule for labels, for errors.

} // namespace monsooncroft::config

#endif
