// EngineClient over HTTP.
#ifndef MARIGOLDQUAY_BACKEND_HTTP_ENGINE_CLIENT_H_
#define MARIGOLDQUAY_BACKEND_HTTP_ENGINE_CLIENT_H_

#include <memory>

#include "marigoldquay/backend/engine_client.h"
#include "marigoldquay/membership/member_view.h"
#include "marigoldquay/transport/http_client.h"

namespace marigoldquay {

/// Client of the engine interface that names this process as holder. An answer with missing or
/// repeated indexes, or with another number of tokens than its last event says, is kProtocol.
/// `http` and `members` must outlive it.
std::unique_ptr<EngineClient> MakeHttpEngineClient(HttpClient& http, const MemberView& members);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_BACKEND_HTTP_ENGINE_CLIENT_H_
