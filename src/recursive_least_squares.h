#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace clementinelane {

/// Recursive least squares with exponential forgetting: estimates `Size`
/// non-negative linear coefficients, starting at a prior. Each observation
/// multiplies the weight of older ones by `ForgettingFactor`. The variances
/// never grow beyond the prior's, so that the coefficient of a feature that is
/// absent for long keeps its value.
template <std::size_t Size> class recursive_least_squares {
public:
  using vector = std::array<double, Size>;

  /// `PriorDeviation`: standard deviation of each coefficient's prior.
  recursive_least_squares(const vector &Prior, const vector &PriorDeviation,
                          double ForgettingFactor)
      : Coefficients(Prior), ForgettingFactor(ForgettingFactor) {
    for (std::size_t I = 0; I < Size; ++I)
      Covariance[I][I] = PriorVariance[I] =
          PriorDeviation[I] * PriorDeviation[I];
  }

  double predict(const vector &X) const {
    double Sum = 0;
    for (std::size_t I = 0; I < Size; ++I)
      Sum += Coefficients[I] * X[I];
    return Sum;
  }

  /// Records the value `Y` at `X`, with this standard deviation. The error is
  /// clipped to `MaxDeviations` deviations, so that one outlier can't dominate.
  void observe(const vector &X, double Y, double Deviation,
               double MaxDeviations) {
    vector Gain{};
    double Denominator = ForgettingFactor * Deviation * Deviation;
    for (std::size_t I = 0; I < Size; ++I) {
      for (std::size_t J = 0; J < Size; ++J)
        Gain[I] += Covariance[I][J] * X[J];
      Denominator += X[I] * Gain[I];
    }
    const double Error = std::clamp(Y - predict(X), -MaxDeviations * Deviation,
                                    MaxDeviations * Deviation);
    for (std::size_t I = 0; I < Size; ++I)
      Coefficients[I] =
          std::max(0.0, Coefficients[I] + Gain[I] * Error / Denominator);
    for (std::size_t I = 0; I < Size; ++I)
      for (std::size_t J = 0; J < Size; ++J)
        Covariance[I][J] -= Gain[I] * Gain[J] / Denominator;
    inflateCovariance();
  }

  double operator[](std::size_t I) const { return Coefficients[I]; }

private:
  /// Increases the variance of each coefficient, up to the prior's.
  void inflateCovariance() {
    vector Growth{};
    for (std::size_t I = 0; I < Size; ++I)
      Growth[I] = Covariance[I][I] <= ForgettingFactor * PriorVariance[I]
                      ? 1 / std::sqrt(ForgettingFactor)
                      : 1;
    for (std::size_t I = 0; I < Size; ++I)
      for (std::size_t J = 0; J < Size; ++J)
        Covariance[I][J] *= Growth[I] * Growth[J];
  }

  vector Coefficients;
  vector PriorVariance{}; ///< variances of the prior
  std::array<vector, Size> Covariance{};
  double ForgettingFactor;
};

} // namespace clementinelane
