"""Progressive releases: call statistics, evaluation of versions, and stages."""
