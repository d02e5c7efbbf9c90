#include "variants.h"

#include <string_view>

#include "settings/checker.h"

namespace papayadrift::experiment {
namespace {

using settings::KeySpecification;
using settings::SectionSpecification;
using settings::ValueKind;

constexpr double kPercent = 100;
constexpr int64_t kMaxValue = 100'000;
// Marks a setting that keeps its default.
constexpr int64_t kUnset = -1;

constexpr KeySpecification PercentKey(std::string_view key,
                                      std::string_view description) {
  return {key, ValueKind::kInteger, "-1", kUnset, kMaxValue, {}, description};
}

constexpr KeySpecification kKeys[] = {
    {"knows_truth",
     ValueKind::kBoolean,
     "no",
     0,
     0,
     {},
     "Whether the true weights of images are known from the start."},
    PercentKey("first_serving", "Cost of a first serving task, in hundredths."),
    PercentKey("other_image", "Cost of a second image, in hundredths."),
    PercentKey("serving_share_gain", "Gain of fuller runners, in hundredths."),
    PercentKey("slowed_fillers", "Cost of fillers slowed, in hundredths."),
    PercentKey("least_slack", "Minimum slack of serving tasks, in hundredths."),
    PercentKey("harmless_weight",
               "Weight below which fillers are not slowed, in hundredths."),
    PercentKey("pace_step", "Step of paces, in percent."),
    PercentKey("longest_wait",
               "Wait before a start without free capacity, in ms."),
};

constexpr SectionSpecification kSections[] = {
    {"variant", true, false, kKeys, "A variant of the scheduling policy."},
};

constexpr settings::Schema kSchema{"Variants of an experiment", kSections};

Variant ReadOne(const settings::CheckedSection& section) {
  Variant variant;
  variant.knows_truth = section.IsSet("knows_truth");
  jobs::PlacementCosts& costs = variant.settings.policy.placement;
  jobs::PaceSettings& pacing = variant.settings.policy.pacing;
  const auto set = [&section](std::string_view key, double& value) {
    if (const int64_t percent = section.Amount(key); percent != kUnset) {
      value = static_cast<double>(percent) / kPercent;
    }
  };
  set("first_serving", costs.first_serving);
  set("other_image", costs.other_image);
  set("serving_share_gain", costs.serving_share_gain);
  set("slowed_fillers", costs.slowed_fillers);
  set("least_slack", pacing.min_slack);
  set("harmless_weight", pacing.harmless_weight);
  if (const int64_t step = section.Amount("pace_step"); step > 0) {
    pacing.step_percent = static_cast<uint32_t>(step);
  }
  if (const int64_t wait = section.Amount("longest_wait"); wait != kUnset) {
    variant.settings.longest_wait = milliseconds(wait);
  }
  return variant;
}

}  // namespace

std::vector<NamedVariant> StandardVariants() {
  Variant first_fit;
  first_fit.settings.policy.placement = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0};
  first_fit.settings.longest_wait = milliseconds(0);
  return {{"today", {}},
          {"knows the weights", {{}, true}},
          {"first fit", first_fit}};
}

std::optional<std::vector<NamedVariant>> ReadVariants(
    const std::string& text,
    std::vector<settings::Problem>& problems) {
  const auto sections = settings::ReadChecked(kSchema, text, problems);
  if (!sections) {
    return std::nullopt;
  }
  std::vector<NamedVariant> variants;
  for (const settings::CheckedSection& section : *sections) {
    variants.push_back({section.name(), ReadOne(section)});
  }
  return variants;
}

}  // namespace papayadrift::experiment
