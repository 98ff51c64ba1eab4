// Package tabler reads and writes the platform's transactional table.
//
// An answer to a write can be lost after the write took effect. Each row
// therefore holds the id of its last write, by which a writer recognizes its
// own.
package tabler

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/platform/requester"
	"github.com/sassafrasspur/sassafrasspur/internal/table"
)

const (
	tableName      = "sassafrasspur"
	defaultRegion  = "us-east-1"
	defaultTimeout = 2 * time.Second
	// maxWrites is the protocol's limit on the items of a transaction.
	maxWrites = 100

	conditionFailed = "ConditionalCheckFailed"
)

// Tabler is a client of the platform's table. It may be used concurrently.
type Tabler struct {
	client   *dynamodb.Client
	endpoint string
	region   string
	key      string
	secret   string
	timeout  time.Duration
	observe  func(*http.Request, error)
}

// Option changes how New builds a Tabler.
type Option func(*Tabler)

// WithEndpoint sets the URL of the table service.
func WithEndpoint(url string) Option { return func(t *Tabler) { t.endpoint = url } }

// WithRegion sets the region that requests are signed for.
func WithRegion(region string) Option { return func(t *Tabler) { t.region = region } }

// WithCredentials sets the key that requests are signed with.
func WithCredentials(key, secret string) Option {
	return func(t *Tabler) { t.key, t.secret = key, secret }
}

// WithTimeout bounds one request. Commit sends up to two.
func WithTimeout(d time.Duration) Option { return func(t *Tabler) { t.timeout = d } }

// WithObserver sets what is told of each request and its failure.
func WithObserver(observe func(*http.Request, error)) Option {
	return func(t *Tabler) { t.observe = observe }
}

// New returns a client of the table service.
func New(options ...Option) *Tabler {
	t := &Tabler{region: defaultRegion, timeout: defaultTimeout, observe: func(*http.Request, error) {}}
	for _, option := range options {
		option(t)
	}
	t.client = dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(t.endpoint),
		Region:       t.region,
		Credentials:  credentials.NewStaticCredentialsProvider(t.key, t.secret, ""),
		Retryer:      aws.NopRetryer{},
		HTTPClient:   requester.New(requester.WithTimeout(t.timeout), requester.WithObserver(t.observe)),
	})
	return t
}

// Get reads a row. It returns false if there is none.
func (t *Tabler) Get(ctx context.Context, kind, key string) (table.Row, bool, error) {
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(tableName),
		ConsistentRead: aws.Bool(true),
		Key: map[string]types.AttributeValue{
			"kind": &types.AttributeValueMemberS{Value: kind},
			"key":  &types.AttributeValueMemberS{Value: key},
		},
	})
	if err != nil {
		return table.Row{}, false, errors.Annotatef(err, "reading row %s/%s", kind, key)
	}
	if len(out.Item) == 0 {
		return table.Row{}, false, nil
	}
	row, err := readItem(out.Item)
	if err != nil {
		return table.Row{}, false, errors.Annotatef(err, "row %s/%s", kind, key)
	}
	return row, true, nil
}

// List reads all rows of a kind, in the order of their keys.
func (t *Tabler) List(ctx context.Context, kind string) ([]table.Row, error) {
	var rows []table.Row
	pages := dynamodb.NewQueryPaginator(t.client, &dynamodb.QueryInput{
		TableName:                 aws.String(tableName),
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String("#kind = :kind"),
		ExpressionAttributeNames:  map[string]string{"#kind": "kind"},
		ExpressionAttributeValues: map[string]types.AttributeValue{":kind": &types.AttributeValueMemberS{Value: kind}},
	})
	for pages.HasMorePages() {
		page, err := pages.NextPage(ctx)
		if err != nil {
			return nil, errors.Annotatef(err, "listing rows of kind %s", kind)
		}
		for _, item := range page.Items {
			row, err := readItem(item)
			if err != nil {
				return nil, errors.Annotatef(err, "row of kind %s", kind)
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Commit writes all rows or none. Any answer but success is checked against
// the first row: a failed condition may be due to an earlier, unanswered
// sending of the same write. More writes than a transaction can hold are a
// conflict, since they can never take effect.
func (t *Tabler) Commit(ctx context.Context, writes []table.Write) message.Verdict {
	if len(writes) == 0 {
		return message.Committed
	}
	if len(writes) > maxWrites {
		return message.Conflict
	}
	items := make([]types.TransactWriteItem, len(writes))
	for i, write := range writes {
		items[i] = types.TransactWriteItem{Put: put(write)}
	}
	_, err := t.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
	if err == nil {
		return message.Committed
	}
	return t.readBack(ctx, writes[0], refused(err))
}

// readBack finds out what became of a write that was not acknowledged.
func (t *Tabler) readBack(ctx context.Context, write table.Write, refused bool) message.Verdict {
	row, found, err := t.Get(ctx, write.Kind, write.Key)
	switch {
	case err != nil:
		return message.Uncertain
	case found && row.WriteID == write.WriteID:
		return message.Committed
	case refused:
		return message.Conflict
	case row.Version == write.Expect:
		return message.Uncertain
	default:
		return message.Conflict
	}
}

// refused reports whether the table found a condition of the transaction
// false. A cancellation for another reason, such as a concurrent transaction
// or too high a rate, says nothing about the conditions.
func refused(err error) bool {
	var cancelled *types.TransactionCanceledException
	if !errors.As(err, &cancelled) {
		return false
	}
	for _, reason := range cancelled.CancellationReasons {
		if aws.ToString(reason.Code) == conditionFailed {
			return true
		}
	}
	return len(cancelled.CancellationReasons) == 0
}

func put(write table.Write) *types.Put {
	p := &types.Put{
		TableName:                aws.String(tableName),
		ConditionExpression:      aws.String("attribute_not_exists(#kind)"),
		ExpressionAttributeNames: map[string]string{"#kind": "kind"},
		Item: map[string]types.AttributeValue{
			"kind":     &types.AttributeValueMemberS{Value: write.Kind},
			"key":      &types.AttributeValueMemberS{Value: write.Key},
			"version":  &types.AttributeValueMemberN{Value: formatVersion(write.Expect + 1)},
			"write_id": &types.AttributeValueMemberS{Value: string(write.WriteID)},
			"body":     &types.AttributeValueMemberS{Value: string(write.Body)},
		},
	}
	if write.Expect > 0 {
		p.ConditionExpression = aws.String("#version = :expect")
		p.ExpressionAttributeNames = map[string]string{"#version": "version"}
		p.ExpressionAttributeValues = map[string]types.AttributeValue{
			":expect": &types.AttributeValueMemberN{Value: formatVersion(write.Expect)},
		}
	}
	return p
}

func formatVersion(v ident.Version) string { return strconv.FormatUint(uint64(v), 10) }

func readItem(item map[string]types.AttributeValue) (table.Row, error) {
	number, ok := item["version"].(*types.AttributeValueMemberN)
	if !ok {
		return table.Row{}, errors.NotValidf("row without a version")
	}
	version, err := strconv.ParseUint(number.Value, 10, 64)
	if err != nil {
		return table.Row{}, errors.Annotate(err, "version")
	}
	var texts [4]string
	for i, name := range []string{"kind", "key", "write_id", "body"} {
		text, ok := item[name].(*types.AttributeValueMemberS)
		if !ok {
			return table.Row{}, errors.NotValidf("row without %s", name)
		}
		texts[i] = text.Value
	}
	return table.Row{
		Kind:    texts[0],
		Key:     texts[1],
		Version: ident.Version(version),
		WriteID: ident.WriteID(texts[2]),
		Body:    []byte(texts[3]),
	}, nil
}
