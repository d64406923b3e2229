#pragma once

#include "base/ids.h"

namespace heatherspan {

/// Cancels a forwarded request whose caller has gone away.
struct CancelRequest {
  RequestId request_id;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(request_id);
  }
};

}  // namespace heatherspan
