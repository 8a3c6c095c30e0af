#ifndef LIBRARIES_HEALTH_SEQUENTIAL_TEST_H_
#define LIBRARIES_HEALTH_SEQUENTIAL_TEST_H_

namespace bulrushshore {

// A one-sided cumulative sum test (CUSUM) on a stream of yes/no observations.
// The score is the log-likelihood ratio of "the event has become frequent"
// against "the event is as frequent as elsewhere", and never falls below 0, so
// that old good behaviour does not hide a new fault. Not thread safe.
class sequential_test {
 public:
  // Precondition: `maximum` > 0; the score never exceeds it, which bounds how
  // long the score of a repaired target stays high.
  explicit sequential_test(double maximum);

  // Adds one observation that counts `weight` times. Preconditions:
  // 0 < expected_share < faulty_share < 1.
  void Observe(bool has_event,
               double expected_share,
               double faulty_share,
               double weight = 1.0);

  void Set(double score);

  double score() const { return score_; }

 private:
  double maximum_;
  double score_ = 0.0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_HEALTH_SEQUENTIAL_TEST_H_
