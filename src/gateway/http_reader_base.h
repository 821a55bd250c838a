/**
 * @file http_reader_base.h
 * The package's name of the HTTP/1.1 parser.
 */
#ifndef MONSOONCROFT_GATEWAY_HTTP_READER_BASE_H
#define MONSOONCROFT_GATEWAY_HTTP_READER_BASE_H

#include "gateway/http_message_type.h"
#include "http/http_reader_base.h"

namespace monsooncroft::gateway {

using http::http_reader;

} // namespace monsooncroft::gateway

#endif
