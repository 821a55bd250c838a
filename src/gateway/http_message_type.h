/**
 * @file http_message_type.h
 * The package's names of parsed HTTP/1.1 messages.
 */
#ifndef MONSOONCROFT_GATEWAY_HTTP_MESSAGE_TYPE_H
#define MONSOONCROFT_GATEWAY_HTTP_MESSAGE_TYPE_H

#include "http/http_message_type.h"

namespace monsooncroft::gateway {

using http::EqualsIgnoreCase;
using http::http_field;
using http::http_message;

} // namespace monsooncroft::gateway

#endif
