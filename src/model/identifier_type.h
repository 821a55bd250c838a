/**
 * @file identifier_type.h
 * Strong identifier types: a name of one kind never passes for another.
 */
#ifndef MONSOONCROFT_MODEL_IDENTIFIER_TYPE_H
#define MONSOONCROFT_MODEL_IDENTIFIER_TYPE_H

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace monsooncroft::model {

/** A name that is only comparable with names of the same @p Tag. */
template<class Tag>
class identifier
{
public:
  identifier() = default;
  explicit identifier(std::string aValue)
    : mValue(std::move(aValue))
  {
  }

  const std::string& Value() const { return mValue; }
  bool Empty() const { return mValue.empty(); }

  bool operator==(const identifier&) const = default;
  std::strong_ordering operator<=>(const identifier&) const = default;

private:
  std::string mValue; ///< The name itself.
};

template<class Tag>
std::ostream&
operator<<(std::ostream& aStream, const identifier<Tag>& aIdentifier)
{
  return aStream << aIdentifier.Value();
}

using service_id = identifier<struct service_tag>; ///< A service.
using shard_id =
  identifier<struct shard_tag>; ///< A shard, unique in its service.
using leaf_id = identifier<struct leaf_tag>; ///< A backend server serving
                                             ///< shards, unique in a manifest.
using kind_id =
  identifier<struct kind_tag>; ///< A request kind, unique in its service.
using workspace_id = identifier<struct workspace_tag>; ///< A tenant.
using request_id = identifier<struct request_tag>;     ///< A caller's request.
using attempt_id = identifier<struct attempt_tag>; ///< One try of one shard of
                                                   ///< a request at one leaf.
using instance_id =
  identifier<struct instance_tag>; ///< An entry instance's name.
using data_centre_id = identifier<struct data_centre_tag>; ///< A data centre.
using coverage_name = identifier<struct coverage_tag>; ///< A partner or quarter
                                                       ///< that a shard covers.

} // namespace monsooncroft::model

template<class Tag>
struct std::hash<monsooncroft::model::identifier<Tag>>
{
  std::size_t operator()(
    const monsooncroft::model::identifier<Tag>& aIdentifier) const noexcept
  {
    return std::hash<std::string>()(aIdentifier.Value());
  }
};

#endif
