#ifndef LIBRUNTIME_NODE_IDENTITY_H_
#define LIBRUNTIME_NODE_IDENTITY_H_

#include "LibDecision/ids.h"

namespace auburnfold {

/// The node that this process runs as, and its incarnation.
struct node_identity {
  node_id node;
  incarnation run;
  node_address address;
  domain_name domain;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_NODE_IDENTITY_H_
