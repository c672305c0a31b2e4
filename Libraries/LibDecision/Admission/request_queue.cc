#include "LibDecision/Admission/request_queue.h"

#include <algorithm>
#include <cassert>

namespace auburnfold {

namespace {

constexpr std::size_t kMostIdleFlows = 64;

// The flow whose turn is next among those with requests.
template <class flow, class size_of>
flow* NextInTurn(std::vector<flow>& flows, const size_of& size) {
  flow* next = nullptr;
  for (flow& each : flows) {
    if (size(each) > 0 && (next == nullptr || each.turn < next->turn)) {
      next = &each;
    }
  }
  return next;
}

// The flow with the most requests for its weight.
template <class flow, class load_of>
flow* MostLoaded(std::vector<flow>& flows, const load_of& load) {
  return &*std::max_element(
      flows.begin(), flows.end(),
      [&load](const flow& a, const flow& b) { return load(a) < load(b); });
}

}  // namespace

void request_queue::Push(const queued_request& request,
                         const class_name& request_class,
                         std::uint32_t weight,
                         const tenant_name& tenant) {
  priority_queue& priority =
      priorities_[request.position.value / kRanksPerPriority];
  class_queue& within = ClassOf(priority, request_class, weight);
  tenant_queue& flow = TenantOf(within, tenant);
  // A flow that had nothing waiting does not collect turns meanwhile.
  if (within.size == 0) {
    within.turn = std::max(within.turn, priority.class_turn);
  }
  if (flow.requests.empty()) {
    flow.turn = std::max(flow.turn, within.tenant_turn);
  }
  const auto after = std::upper_bound(
      flow.requests.begin(), flow.requests.end(), request,
      [](const queued_request& left, const queued_request& right) {
        return left.position < right.position;
      });
  flow.requests.insert(after, request);
  ++within.size;
  ++priority.size;
  ++size_;
}

std::optional<queued_request> request_queue::PopFirst() {
  for (std::size_t i = priorities_.size(); i-- > 0;) {
    priority_queue& priority = priorities_[i];
    if (priority.size == 0) {
      continue;
    }
    class_queue& within = *NextInTurn(
        priority.classes, [](const class_queue& each) { return each.size; });
    tenant_queue& flow = *NextInTurn(
        within.tenants,
        [](const tenant_queue& each) { return each.requests.size(); });
    const queued_request first = flow.requests.back();
    flow.requests.pop_back();
    priority.class_turn = within.turn;
    within.turn += 1.0 / within.weight;
    within.tenant_turn = flow.turn;
    flow.turn += 1;
    --within.size;
    --priority.size;
    --size_;
    return first;
  }
  return std::nullopt;
}

std::optional<queued_request> request_queue::PopLast() {
  for (priority_queue& priority : priorities_) {
    if (priority.size == 0) {
      continue;
    }
    class_queue& within =
        *MostLoaded(priority.classes, [](const class_queue& each) {
          return static_cast<double>(each.size) / each.weight;
        });
    tenant_queue& flow = *MostLoaded(
        within.tenants,
        [](const tenant_queue& each) { return each.requests.size(); });
    const queued_request last = flow.requests.front();
    flow.requests.erase(flow.requests.begin());
    --within.size;
    --priority.size;
    --size_;
    return last;
  }
  return std::nullopt;
}

bool request_queue::Remove(work_id work) {
  const std::size_t before = size_;
  RemoveIf([work](const queued_request& each) { return each.work == work; });
  return size_ < before;
}

std::vector<queued_request> request_queue::PopExpired(instant now) {
  std::vector<queued_request> expired;
  RemoveIf([now, &expired](const queued_request& each) {
    if (each.useful_until > now) {
      return false;
    }
    expired.push_back(each);
    return true;
  });
  return expired;
}

std::uint8_t request_queue::first_priority() const {
  assert(!empty());
  std::size_t priority = priorities_.size() - 1;
  while (priorities_[priority].size == 0) {
    --priority;
  }
  return static_cast<std::uint8_t>(priority);
}

instant request_queue::first_expiry() const {
  assert(!empty());
  instant first = instant::max();
  for (const priority_queue& priority : priorities_) {
    for (const class_queue& within : priority.classes) {
      for (const tenant_queue& flow : within.tenants) {
        for (const queued_request& each : flow.requests) {
          first = std::min(first, each.useful_until);
        }
      }
    }
  }
  return first;
}

template <class predicate>
void request_queue::RemoveIf(const predicate& is_removed) {
  for (priority_queue& priority : priorities_) {
    if (priority.size == 0) {
      continue;
    }
    for (class_queue& within : priority.classes) {
      for (tenant_queue& flow : within.tenants) {
        const std::size_t removed = std::erase_if(flow.requests, is_removed);
        within.size -= removed;
        priority.size -= removed;
        size_ -= removed;
      }
    }
  }
}

request_queue::class_queue& request_queue::ClassOf(
    priority_queue& priority,
    const class_name& request_class,
    std::uint32_t weight) {
  std::vector<class_queue>& classes = priority.classes;
  for (class_queue& each : classes) {
    if (each.request_class == request_class) {
      each.weight = std::max<std::uint32_t>(weight, 1);
      return each;
    }
  }
  if (classes.size() >= kMostIdleFlows) {
    std::erase_if(classes,
                  [](const class_queue& each) { return each.size == 0; });
  }
  class_queue made;
  made.request_class = request_class;
  made.weight = std::max<std::uint32_t>(weight, 1);
  return classes.emplace_back(std::move(made));
}

request_queue::tenant_queue& request_queue::TenantOf(
    class_queue& within,
    const tenant_name& tenant) {
  std::vector<tenant_queue>& tenants = within.tenants;
  for (tenant_queue& each : tenants) {
    if (each.tenant == tenant) {
      return each;
    }
  }
  if (tenants.size() >= kMostIdleFlows) {
    std::erase_if(tenants, [](const tenant_queue& each) {
      return each.requests.empty();
    });
  }
  tenant_queue made;
  made.tenant = tenant;
  return tenants.emplace_back(std::move(made));
}

}  // namespace auburnfold
