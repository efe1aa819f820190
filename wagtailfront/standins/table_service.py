"""In-memory stand-in for a table with DynamoDB's low-level JSON protocol."""

import base64
import binascii
import hashlib
import itertools
import json
from bisect import bisect_right, insort
from collections import OrderedDict, deque

from wagtailfront.standins.http_message import json_reply

__all__ = ["TableService"]

CONTENT_TYPE = "application/x-amz-json-1.0"
TARGET_PREFIX = "DynamoDB_20120810."
ERROR_PREFIX = "com.amazonaws.dynamodb.v20120810#"
ERA_HEADER = "X-Table-Era"
TOKEN_LIFETIME = 600.0  # seconds, as in DynamoDB
UNDO_SECONDS = 60.0  # age of the oldest copy that the table can come back from
ITEM_LIMIT = 400 * 1024  # bytes
PAGE_LIMIT = 1024 * 1024  # bytes of a query's reply
TRANSACT_ITEMS_LIMIT = 100

NOT_EXISTS = "attribute_not_exists(pk)"
# Supported key conditions, and whether each has a lower bound `:a`.
KEY_CONDITIONS = {"pk = :p": False, "pk = :p AND sk > :a": True}


class TableError(Exception):
    """An error that is returned to the client."""

    def __init__(self, kind, message, *, status=400, **details):
        super().__init__(message)
        self.kind = kind
        self.status = status
        self.details = details


class TableService:
    """Rows of one table, keyed by `pk` and `sk`.

    Parameters
    ----------
    table : str
        Name of the table.
    page_limit : int
        Size in bytes after which a page of a query ends.

    Attributes
    ----------
    era : int
        Rises each time the table comes back from an older copy.
    """

    def __init__(self, *, table="wagtailfront", page_limit=PAGE_LIMIT):
        self.table = table
        self.page_limit = page_limit
        self.items = {}
        self.sort_keys = {}
        # Commit time and digest of the actions by token, oldest first.
        self.tokens = OrderedDict()
        self.era = 1
        self.undo = deque()  # time, key and item before, for each write

    def restore(self, *, lost, now):
        """Come back from a copy that is `lost` seconds old.

        The tokens of the lost writes stay known, so that a repeat of one is
        answered as committed and has no effect.
        """
        while self.undo and self.undo[-1][0] > now - lost:
            _at, key, item = self.undo.pop()
            if item is None:
                del self.items[key]
                self.sort_keys[key[0]].remove(key[1])
            else:
                self.items[key] = item
        self.era += 1

    def handle(self, request, *, now):
        """Return the reply to an HttpRequest.

        Parameters
        ----------
        request : HttpRequest
        now : float
            Seconds; only differences matter.
        """
        operations = {
            "GetItem": self._get_item,
            "Query": self._query,
            "TransactWriteItems": self._transact,
        }
        try:
            name = operation_name(request)
            if name not in operations:
                raise TableError("UnknownOperationException", "")
            reply = operations[name](_parse_body(request.body), now)
        except TableError as error:
            return error_reply(
                error.kind, str(error), status=error.status, **error.details
            )
        headers = {ERA_HEADER: str(self.era)}
        return json_reply(200, reply, content_type=CONTENT_TYPE, **headers)

    def _get_item(self, body, now):
        self._check_table(body)
        item = self.items.get(_parse_key(body.get("Key"), exact=True))
        return {"Item": item} if item is not None else {}

    def _query(self, body, now):
        self._check_table(body)
        condition = body.get("KeyConditionExpression")
        if not isinstance(condition, str) or condition not in KEY_CONDITIONS:
            raise _validation_error("unsupported KeyConditionExpression")
        values = _require_object(body.get("ExpressionAttributeValues"))
        partition = _key_string(values.get(":p"))
        after = _key_string(values.get(":a")) if KEY_CONDITIONS[condition] else ""
        limit = body.get("Limit", 1_000_000)
        if type(limit) is not int or limit < 1:
            raise _validation_error("Limit must be at least 1")
        sort_keys = self.sort_keys.get(partition, [])
        start = bisect_right(sort_keys, after)
        items, size = [], 0
        for sort_key in itertools.islice(sort_keys, start, start + limit):
            items.append(self.items[(partition, sort_key)])
            size += _item_size(items[-1])
            if size > self.page_limit:
                break
        reply = {"Items": items, "Count": len(items), "ScannedCount": len(items)}
        if len(items) == limit or start + len(items) < len(sort_keys):
            reply["LastEvaluatedKey"] = {key: items[-1][key] for key in ("pk", "sk")}
        return reply

    def _transact(self, body, now):
        actions = body.get("TransactItems")
        if not isinstance(actions, list):
            raise _validation_error("TransactItems must be a list")
        if not 1 <= len(actions) <= TRANSACT_ITEMS_LIMIT:
            raise _validation_error("TransactItems must have 1 to 100 members")
        parsed = [self._parse_action(action) for action in actions]
        keys = [key for key, _condition, _item in parsed]
        if len(set(keys)) != len(keys):
            raise _validation_error(
                "Transaction request cannot include multiple operations"
            )
        token = body.get("ClientRequestToken")
        if token is not None and self._is_replay(token, actions, now):
            return {}
        failed = [
            not condition(self.items.get(key)) for key, condition, _item in parsed
        ]
        if any(failed):
            raise _cancellation_error(failed)
        for key, _condition, item in parsed:
            if item is not None:
                self._store(key, item, now)
        if token is not None:
            self.tokens[token] = (now, _digest(actions))
        return {}

    def _is_replay(self, token, actions, now):
        """Return whether the token has committed the same actions before."""
        if not isinstance(token, str) or not 1 <= len(token) <= 36:
            raise _validation_error("ClientRequestToken must have 1 to 36 characters")
        while self.tokens:
            oldest = next(iter(self.tokens))
            if now - self.tokens[oldest][0] <= TOKEN_LIFETIME:
                break
            del self.tokens[oldest]
        if token not in self.tokens:
            return False
        if self.tokens[token][1] != _digest(actions):
            raise TableError("IdempotentParameterMismatchException", "other request")
        return True

    def _parse_action(self, action):
        """Return the key, the condition and the item to store, or None."""
        if len(_require_object(action)) != 1:
            raise _validation_error("an action has one member")
        ((kind, details),) = action.items()
        self._check_table(_require_object(details))
        if kind == "ConditionCheck":
            key, item = _parse_key(details.get("Key"), exact=True), None
        elif kind == "Put":
            item = _parse_item(details.get("Item"))
            key = _parse_key(item)
        else:
            raise _validation_error(f"unsupported action {kind}")
        return key, _parse_condition(details), item

    def _store(self, key, item, now):
        self.undo.append((now, key, self.items.get(key)))
        while self.undo[0][0] < now - UNDO_SECONDS:
            self.undo.popleft()
        if key not in self.items:
            insort(self.sort_keys.setdefault(key[0], []), key[1])
        self.items[key] = item

    def _check_table(self, body):
        if body.get("TableName") != self.table:
            raise TableError("ResourceNotFoundException", "Requested resource missing")


def operation_name(request):
    """Return the operation that a request asks for, or ""."""
    prefix, _, name = request.headers.get("x-amz-target", "").partition(".")
    return name if f"{prefix}." == TARGET_PREFIX else ""


def error_reply(kind, message, *, status=400, **details):
    """Return an error reply of the protocol."""
    body = {"__type": ERROR_PREFIX + kind, "message": message, **details}
    return json_reply(status, body, content_type=CONTENT_TYPE)


def _digest(actions):
    return hashlib.sha256(json.dumps(actions, sort_keys=True).encode()).digest()


def _validation_error(message):
    return TableError("ValidationException", message)


def _cancellation_error(failed):
    codes = ["ConditionalCheckFailed" if failure else "None" for failure in failed]
    message = (
        "Transaction cancelled, please refer cancellation reasons for specific "
        f"reasons [{', '.join(codes)}]"
    )
    reasons = [{"Code": code} for code in codes]
    return TableError(
        "TransactionCanceledException", message, CancellationReasons=reasons
    )


def _parse_body(body):
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        raise TableError("SerializationException", "body is not JSON")
    return _require_object(value)


def _require_object(value):
    if not isinstance(value, dict):
        raise TableError("SerializationException", "expected a JSON object")
    return value


def _parse_attribute(value, kind):
    if list(_require_object(value)) != [kind] or not isinstance(value[kind], str):
        raise _validation_error(f"expected an attribute of type {kind}")
    return value[kind]


def _key_string(value):
    text = _parse_attribute(value, "S")
    if not text:
        raise _validation_error("a key attribute must not be empty")
    return text


def _parse_number(value):
    text = _parse_attribute(value, "N")
    if not (text.isascii() and text.isdigit()) or len(text) > 38:
        raise _validation_error("expected a whole number")
    return int(text)


def _parse_key(value, *, exact=False):
    if exact and set(_require_object(value)) != {"pk", "sk"}:
        raise _validation_error("a key has the members pk and sk")
    return _key_string(_require_object(value).get("pk")), _key_string(value.get("sk"))


def _parse_item(value):
    names = set(_require_object(value)) - {"expires"}
    if names != {"pk", "sk", "version", "value"}:
        raise _validation_error("an item has the members pk, sk, version and value")
    _parse_number(value["version"])
    if "expires" in value:
        _parse_number(value["expires"])
    try:
        base64.b64decode(_parse_attribute(value["value"], "B"), validate=True)
    except (binascii.Error, ValueError):
        raise TableError("SerializationException", "value is not base64")
    if _item_size(value) > ITEM_LIMIT:
        raise _validation_error("Item size has exceeded the maximum allowed size")
    return value


def _item_size(item):
    return sum(len(name) + len(str(value)) for name, value in item.items())


def _parse_condition(details):
    expression = details.get("ConditionExpression")
    if expression == NOT_EXISTS:
        return lambda item: item is None
    names = _require_object(details.get("ExpressionAttributeNames", {}))
    left, separator, right = str(expression).partition(" = ")
    if not separator or names.get(left) != "version":
        raise _validation_error("unsupported ConditionExpression")
    values = _require_object(details.get("ExpressionAttributeValues"))
    expected = _parse_number(values.get(right))
    return lambda item: item is not None and _parse_number(item["version"]) == expected
