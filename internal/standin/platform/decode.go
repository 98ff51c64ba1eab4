package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/sassafrasspur/sassafrasspur/internal/standin/transactor"
)

var errNoTable = errors.New("the table does not exist")

// attribute is DynamoDB's encoding of a value; other types are not served.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
}

func (a attribute) decode() (transactor.Attribute, error) {
	switch {
	case a.S != nil && a.N == nil:
		return transactor.String(*a.S), nil
	case a.N != nil && a.S == nil:
		return transactor.Number(*a.N), nil
	}
	return nil, errors.New("an attribute must be of type S or N")
}

func decodeItem(encoded map[string]attribute) (transactor.Item, error) {
	item := transactor.Item{}
	for name, value := range encoded {
		decoded, err := value.decode()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		item[name] = decoded
	}
	if _, ok := item.Key(); !ok {
		return nil, errors.New("the item needs the strings kind and key")
	}
	return item, nil
}

func encodeItem(item transactor.Item) map[string]attribute {
	encoded := make(map[string]attribute, len(item))
	for name, value := range item {
		switch v := value.(type) {
		case transactor.String:
			text := string(v)
			encoded[name] = attribute{S: &text}
		case transactor.Number:
			text := string(v)
			encoded[name] = attribute{N: &text}
		}
	}
	return encoded
}

func decodeKey(encoded map[string]attribute) (transactor.Key, error) {
	item, err := decodeItem(encoded)
	if err != nil {
		return transactor.Key{}, err
	}
	if len(item) != 2 {
		return transactor.Key{}, errors.New("the key has more than kind and key")
	}
	k, _ := item.Key()
	return k, nil
}

func decodeGet(raw []byte) (command, error) {
	var body struct {
		TableName string
		Key       map[string]attribute
	}
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, err
	}
	if body.TableName != TableName {
		return nil, errNoTable
	}
	k, err := decodeKey(body.Key)
	return get{key: k}, err
}

// names has the substitutions of an expression.
type names struct {
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues map[string]attribute
}

func (n names) name(text string) string {
	if name, ok := n.ExpressionAttributeNames[text]; ok {
		return name
	}
	return text
}

// equality decodes "name = :value".
func (n names) equality(expression string) (string, transactor.Attribute, error) {
	left, right, ok := strings.Cut(expression, "=")
	value, known := n.ExpressionAttributeValues[strings.TrimSpace(right)]
	if !ok || !known {
		return "", nil, fmt.Errorf("the expression %q is not served", expression)
	}
	decoded, err := value.decode()
	return n.name(strings.TrimSpace(left)), decoded, err
}

func (n names) condition(expression string) (transactor.Condition, error) {
	if rest, ok := strings.CutPrefix(strings.TrimSpace(expression), "attribute_not_exists"); ok {
		rest = strings.TrimSpace(rest)
		if !strings.HasPrefix(rest, "(") || !strings.HasSuffix(rest, ")") {
			return nil, fmt.Errorf("the expression %q is not served", expression)
		}
		return transactor.Absent{Name: n.name(strings.TrimSpace(rest[1 : len(rest)-1]))}, nil
	}
	name, value, err := n.equality(expression)
	return transactor.Equal{Name: name, Value: value}, err
}

func decodeQuery(raw []byte) (command, error) {
	var body struct {
		names
		TableName              string
		KeyConditionExpression string
	}
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, err
	}
	if body.TableName != TableName {
		return nil, errNoTable
	}
	name, value, err := body.equality(body.KeyConditionExpression)
	if err != nil {
		return nil, err
	}
	kind, ok := value.(transactor.String)
	if name != transactor.KindName || !ok {
		return nil, errors.New("only queries for a kind are served")
	}
	return query{kind: string(kind)}, nil
}

// part is one operation of a transaction.
type part struct {
	names
	TableName                           string
	Item                                map[string]attribute
	Key                                 map[string]attribute
	ConditionExpression                 string
	ReturnValuesOnConditionCheckFailure string
}

func decodeTransact(raw []byte) (command, error) {
	var body struct {
		TransactItems []struct {
			Put            *part
			ConditionCheck *part
		}
	}
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, err
	}
	if n := len(body.TransactItems); n < 1 || n > operationLimit {
		return nil, fmt.Errorf("a transaction has 1 to %d items, not %d", operationLimit, n)
	}
	c := transact{}
	seen := map[transactor.Key]bool{}
	for _, wanted := range body.TransactItems {
		var (
			operation transactor.Operation
			err       error
		)
		p := wanted.Put
		switch {
		case wanted.Put != nil && wanted.ConditionCheck == nil:
			operation, err = decodePut(p)
		case wanted.ConditionCheck != nil && wanted.Put == nil:
			p = wanted.ConditionCheck
			operation, err = decodeCheck(p)
		default:
			err = errors.New("only Put and ConditionCheck are served")
		}
		if err != nil {
			return nil, err
		}
		k := transactor.KeyOf(operation)
		if seen[k] {
			return nil, errors.New("transaction request cannot include multiple operations on one item")
		}
		seen[k] = true
		c.operations = append(c.operations, operation)
		c.returnOld = append(c.returnOld, p.ReturnValuesOnConditionCheckFailure == "ALL_OLD")
	}
	return c, nil
}

func decodePut(p *part) (transactor.Operation, error) {
	if p.TableName != TableName {
		return nil, errNoTable
	}
	item, err := decodeItem(p.Item)
	if err != nil {
		return nil, err
	}
	if sizeOf(item) > itemLimit {
		return nil, errors.New("item size has exceeded the maximum allowed size")
	}
	condition, err := p.condition(p.ConditionExpression)
	return transactor.Put{Item: item, Condition: condition}, err
}

func decodeCheck(p *part) (transactor.Operation, error) {
	if p.TableName != TableName {
		return nil, errNoTable
	}
	k, err := decodeKey(p.Key)
	if err != nil {
		return nil, err
	}
	condition, err := p.condition(p.ConditionExpression)
	return transactor.Check{Key: k, Condition: condition}, err
}
