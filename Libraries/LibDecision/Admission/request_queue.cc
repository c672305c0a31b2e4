#include "LibDecision/Admission/request_queue.h"

#include <algorithm>
#include <cassert>

namespace auburnfold {

namespace {

constexpr std::size_t kIdleFlowCleanupThreshold = 64;

// The non-empty flow with the lowest virtual time.
template <class flow, class size_of>
flow* NextFlow(std::vector<flow>& flows, const size_of& size) {
  flow* next = nullptr;
  for (flow& each : flows) {
    if (size(each) > 0 &&
        (next == nullptr || each.virtual_time < next->virtual_time)) {
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
      priorities_[request.admission_rank.value / kRanksPerPriority];
  class_queue& class_flow = FindOrCreateClass(priority, request_class, weight);
  tenant_queue& tenant_flow = FindOrCreateTenant(class_flow, tenant);
  // A flow that was empty must not be credited for the time it had no requests.
  if (class_flow.size == 0) {
    class_flow.virtual_time =
        std::max(class_flow.virtual_time, priority.class_virtual_time);
  }
  if (tenant_flow.requests.empty()) {
    tenant_flow.virtual_time =
        std::max(tenant_flow.virtual_time, class_flow.tenant_virtual_time);
  }
  const auto after = std::upper_bound(
      tenant_flow.requests.begin(), tenant_flow.requests.end(), request,
      [](const queued_request& left, const queued_request& right) {
        return left.admission_rank < right.admission_rank;
      });
  tenant_flow.requests.insert(after, request);
  ++class_flow.size;
  ++priority.size;
  ++size_;
}

std::optional<queued_request> request_queue::PopNext() {
  for (std::size_t i = priorities_.size(); i-- > 0;) {
    priority_queue& priority = priorities_[i];
    if (priority.size == 0) {
      continue;
    }
    class_queue& class_flow = *NextFlow(
        priority.classes, [](const class_queue& each) { return each.size; });
    tenant_queue& tenant_flow = *NextFlow(
        class_flow.tenants,
        [](const tenant_queue& each) { return each.requests.size(); });
    const queued_request first = tenant_flow.requests.back();
    tenant_flow.requests.pop_back();
    priority.class_virtual_time = class_flow.virtual_time;
    class_flow.virtual_time += 1.0 / class_flow.weight;
    class_flow.tenant_virtual_time = tenant_flow.virtual_time;
    tenant_flow.virtual_time += 1;
    --class_flow.size;
    --priority.size;
    --size_;
    return first;
  }
  return std::nullopt;
}

std::optional<queued_request> request_queue::PopLowest() {
  for (priority_queue& priority : priorities_) {
    if (priority.size == 0) {
      continue;
    }
    class_queue& class_flow =
        *MostLoaded(priority.classes, [](const class_queue& each) {
          return static_cast<double>(each.size) / each.weight;
        });
    tenant_queue& tenant_flow = *MostLoaded(
        class_flow.tenants,
        [](const tenant_queue& each) { return each.requests.size(); });
    const queued_request last = tenant_flow.requests.front();
    tenant_flow.requests.erase(tenant_flow.requests.begin());
    --class_flow.size;
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
    if (each.expires_at > now) {
      return false;
    }
    expired.push_back(each);
    return true;
  });
  return expired;
}

std::uint8_t request_queue::next_priority() const {
  assert(!empty());
  std::size_t priority = priorities_.size() - 1;
  while (priorities_[priority].size == 0) {
    --priority;
  }
  return static_cast<std::uint8_t>(priority);
}

instant request_queue::earliest_expiry() const {
  assert(!empty());
  instant first = instant::max();
  for (const priority_queue& priority : priorities_) {
    for (const class_queue& class_flow : priority.classes) {
      for (const tenant_queue& tenant_flow : class_flow.tenants) {
        for (const queued_request& each : tenant_flow.requests) {
          first = std::min(first, each.expires_at);
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
    for (class_queue& class_flow : priority.classes) {
      for (tenant_queue& tenant_flow : class_flow.tenants) {
        const std::size_t removed =
            std::erase_if(tenant_flow.requests, is_removed);
        class_flow.size -= removed;
        priority.size -= removed;
        size_ -= removed;
      }
    }
  }
}

request_queue::class_queue& request_queue::FindOrCreateClass(
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
  if (classes.size() >= kIdleFlowCleanupThreshold) {
    std::erase_if(classes,
                  [](const class_queue& each) { return each.size == 0; });
  }
  class_queue created;
  created.request_class = request_class;
  created.weight = std::max<std::uint32_t>(weight, 1);
  return classes.emplace_back(std::move(created));
}

request_queue::tenant_queue& request_queue::FindOrCreateTenant(
    class_queue& class_flow,
    const tenant_name& tenant) {
  std::vector<tenant_queue>& tenants = class_flow.tenants;
  for (tenant_queue& each : tenants) {
    if (each.tenant == tenant) {
      return each;
    }
  }
  if (tenants.size() >= kIdleFlowCleanupThreshold) {
    std::erase_if(tenants, [](const tenant_queue& each) {
      return each.requests.empty();
    });
  }
  tenant_queue created;
  created.tenant = tenant;
  return tenants.emplace_back(std::move(created));
}

}  // namespace auburnfold
