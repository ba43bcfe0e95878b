"""The types of answers, with a hint on valid values for each field."""

from typing import Annotated

import msgspec

from cicadawheel.configuration import RepeatRule
from cicadawheel.ids import DataCentreName, ServiceName

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
NAME_REMEDY = (
    "give a name of at most 63 letters, digits, dots, hyphens and underscores "
    "that begins with a letter or digit"
)
DEFAULT_ROUTE_PREFIX = "default-"
METHODS = ("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE", "*")
METHOD_PATTERN = r"^(GET|HEAD|OPTIONS|POST|PUT|PATCH|DELETE|\*)$"

DEADLINE_LIMIT_MS = 3_600_000
DISTANCE_LIMIT_MS = 10_000
STAGE_LIMIT_MS = 86_400_000
PROOF_SHARE_LIMIT = 0.2
SLOWDOWN_LIMIT = 100
PROBES_LIMIT_PER_S = 10_000
BYTES_LIMIT_PER_S = 100_000_000


def _number(remedy: str, **bounds: float) -> object:
    return Annotated[float, msgspec.Meta(description=remedy, **bounds)]


DeadlineMs = _number(
    f"give milliseconds above 0 and at most {DEADLINE_LIMIT_MS}, such as 2000",
    gt=0,
    le=DEADLINE_LIMIT_MS,
)
RetryShare = _number("give a share from 0 to 1, such as 0.1", ge=0, le=1)
HedgeQuantile = _number(
    "give 0 for no hedging, or a quantile below 1, such as 0.95", ge=0, lt=1
)
ProofShare = _number(
    f"give a share above 0 and at most {PROOF_SHARE_LIMIT}, such as 0.05",
    gt=0,
    le=PROOF_SHARE_LIMIT,
)
StageMs = _number(
    f"give milliseconds above 0 and at most {STAGE_LIMIT_MS}, such as 10000",
    gt=0,
    le=STAGE_LIMIT_MS,
)
FailureRatio = _number("give a ratio above 0 and below 1, such as 0.02", gt=0, lt=1)
Slowdown = _number(
    f"give a factor above 1 and at most {SLOWDOWN_LIMIT}, such as 1.5",
    gt=1,
    le=SLOWDOWN_LIMIT,
)
ProbesPerS = _number(
    f"give a number above 0 and at most {PROBES_LIMIT_PER_S}, such as 10",
    gt=0,
    le=PROBES_LIMIT_PER_S,
)
BytesPerS = _number(
    f"give a number above 0 and at most {BYTES_LIMIT_PER_S}, such as 3000",
    gt=0,
    le=BYTES_LIMIT_PER_S,
)
DistanceMs = _number(
    f"give milliseconds from 0 to {DISTANCE_LIMIT_MS}, such as 1.5",
    ge=0,
    le=DISTANCE_LIMIT_MS,
)
Method = Annotated[
    str,
    msgspec.Meta(
        pattern=METHOD_PATTERN, description=f"give one of {', '.join(METHODS)}"
    ),
]
PathPrefix = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^/\S*$",
        description="give the beginning of a path, such as /bookings",
    ),
]
Region = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN, description=NAME_REMEDY)]
Repeat = Annotated[
    RepeatRule,
    msgspec.Meta(description="give never or repeatable"),
]
Distances = Annotated[
    dict[DataCentreName, float],
    msgspec.Meta(
        description="give pairs of a data centre and one-way milliseconds, "
        "separated by commas, such as: north 1.5, south 2"
    ),
]


class DataCentreAnswers(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[data-centre NAME]``.

    The distance of a pair may be given in the section of either data centre.
    """

    name: DataCentreName
    region: Region
    distance_ms: Distances = {}


class ServiceAnswers(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[service NAME]``."""

    name: ServiceName
    deadline_ms: DeadlineMs
    retry_share: RetryShare = 0.1
    hedge_after_quantile: HedgeQuantile = 0.0


class RouteAnswers(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[route SERVICE NAME]``.

    Without ``deadline_ms`` the deadline of the service applies.
    """

    service: ServiceName
    name: str
    method: Method
    path_prefix: PathPrefix
    repeat: Repeat
    deadline_ms: DeadlineMs | None = None


class ReleaseAnswers(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[release-habits SERVICE]``."""

    service: ServiceName
    proof_share_limit: ProofShare = 0.05
    stage_min_ms: StageMs = 10_000.0
    failure_ratio_limit: FailureRatio = 0.02
    slowdown_limit: Slowdown = 1.5


class MeasuringAnswers(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[measuring]``."""

    probes_per_s: ProbesPerS = 10.0
    bytes_per_s: BytesPerS = 3_000.0


class Answers(msgspec.Struct, frozen=True, kw_only=True):
    """All answers of one file, checked for consistency."""

    data_centres: tuple[DataCentreAnswers, ...]
    services: tuple[ServiceAnswers, ...]
    routes: tuple[RouteAnswers, ...] = ()
    release_habits: tuple[ReleaseAnswers, ...] = ()
    measuring: MeasuringAnswers = MeasuringAnswers()
