#ifndef LIBRUNTIME_NODE_IDENTITY_H_
#define LIBRUNTIME_NODE_IDENTITY_H_

#include "LibDecision/ids.h"

namespace auburnfold {

/// Which node, and which run of it, this process is.
struct node_identity {
  node_id node;
  incarnation run;
  node_address address;
  domain_name domain;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_NODE_IDENTITY_H_
